package dev.windbend.machine;

import dev.windbend.store.Draft;
import dev.windbend.store.Stored;
import dev.windbend.store.Unit;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One rental: recorded before the cloud is asked, kept until all its machines are gone. */
final class Hire implements Unit {
  private static final long LAZY_MS = 2_000;

  final String name;
  final String key;
  final MachineType type;
  final int zone;
  final HireRecord asked;
  final Set<String> machines = new LinkedHashSet<>();
  final long madeMs;
  boolean answered;
  boolean asking;
  private boolean over;
  private boolean removed;
  private long version;
  private long changes;
  private long written;
  private long inFlight = -1;
  private long dirtySinceMs;
  private boolean hurry;
  private boolean deleting;
  private boolean listing;
  private boolean listed;

  Hire(String name, int part, HireRecord asked, MachineType type, int zone, long nowMs) {
    this.name = name;
    this.key = HireRecord.prefix(part) + name;
    this.asked = asked;
    this.type = type;
    this.zone = zone;
    this.madeMs = nowMs;
    if (asked.machines() != null) {
      answered = true;
      machines.addAll(asked.machines());
    }
  }

  /** Found in the state service with this version. */
  Hire stored(long v) {
    version = v;
    listed = answered;
    return this;
  }

  boolean recorded() {
    return version > 0;
  }

  /** The record names the machines, so a successor would know what may run on them. */
  boolean listed() {
    return listed;
  }

  boolean over() {
    return over;
  }

  /** Nothing of it is left: the record goes. */
  void finish(long nowMs) {
    over = true;
    touched(nowMs, false);
  }

  void touched(long nowMs, boolean soon) {
    if (changes == written) {
      dirtySinceMs = nowMs;
    }
    changes++;
    hurry |= soon;
  }

  @Override
  public boolean dirty() {
    return inFlight < 0 && changes > written && !removed;
  }

  @Override
  public boolean urgent(long nowMs) {
    return hurry || nowMs - dirtySinceMs >= LAZY_MS;
  }

  @Override
  public int cost() {
    return 1;
  }

  @Override
  public void fill(Draft draft) {
    inFlight = changes;
    hurry = false;
    deleting = over;
    listing = answered;
    draft.when(key, version);
    if (over) {
      draft.delete(key);
    } else {
      draft.put(
          key,
          new HireRecord(
              asked.type(),
              asked.zone(),
              asked.spot(),
              asked.count(),
              answered ? List.copyOf(machines) : null));
    }
  }

  @Override
  public void written(long revision) {
    written = inFlight;
    inFlight = -1;
    version = revision;
    removed = deleting;
    listed |= listing;
  }

  @Override
  public void unwritten() {
    inFlight = -1;
    hurry = true;
  }

  @Override
  public void reread(String k, Stored now) {
    if (now != null) {
      version = now.version();
    } else if (over) {
      removed = true;
    } else {
      version = 0;
    }
  }

  @Override
  public boolean owns(String k) {
    return k.equals(key);
  }
}
