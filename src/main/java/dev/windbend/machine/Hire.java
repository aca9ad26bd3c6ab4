package dev.windbend.machine;

import dev.windbend.store.Draft;
import dev.windbend.store.Stored;
import dev.windbend.store.Unit;
import java.util.ArrayList;
import java.util.List;

/** One rental: recorded before the cloud is asked, until each of its machines has a record. */
final class Hire implements Unit {
  final String name;
  final String key;
  final MachineType type;
  final int zone;
  final HireRecord asked;
  final long madeMs;
  final List<Machine> machines = new ArrayList<>();
  boolean asking;
  boolean answered;
  private boolean over;
  private long version;
  private boolean inFlight;
  private boolean removed;

  /** {@code version} 0: not stored yet. */
  Hire(
      String name,
      int part,
      HireRecord asked,
      MachineType type,
      int zone,
      long version,
      long nowMs) {
    this.name = name;
    this.key = HireRecord.prefix(part) + name;
    this.asked = asked;
    this.type = type;
    this.zone = zone;
    this.version = version;
    this.madeMs = nowMs;
  }

  boolean recorded() {
    return version > 0;
  }

  /** Nothing depends on the record any more. */
  void finish() {
    over = true;
  }

  @Override
  public boolean dirty() {
    return !inFlight && !removed && (over || version == 0);
  }

  @Override
  public boolean urgent(long nowMs) {
    return !over;
  }

  @Override
  public int cost() {
    return 1;
  }

  @Override
  public void fill(Draft draft) {
    inFlight = true;
    draft.when(key, version);
    if (over) {
      draft.delete(key);
    } else {
      draft.put(key, asked);
    }
  }

  @Override
  public void written(long revision) {
    inFlight = false;
    version = revision;
    removed = over;
  }

  @Override
  public void unwritten() {
    inFlight = false;
  }

  @Override
  public void reread(String k, Stored now) {
    version = now == null ? 0 : now.version();
    removed = over && now == null;
  }

  @Override
  public boolean owns(String k) {
    return k.equals(key);
  }
}
