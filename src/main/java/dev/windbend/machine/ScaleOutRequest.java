package dev.windbend.machine;

import dev.windbend.store.PendingWrite;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.VersionedValue;
import java.util.ArrayList;
import java.util.List;

/**
 * One rental, or machines given together, kept in one record: before the cloud is asked, with its
 * machines once it has answered, and until none of them is left with this shard. A record for each
 * machine would take most of the changes that the state service allows.
 */
final class ScaleOutRequest implements PendingWrite {
  /** A name too many does no harm: a successor looks for it in the cloud's list. */
  private static final long LAZY_MS = 60_000;

  final String name;
  final String key;
  final MachineType type;
  final int zone;
  final ScaleOutRecord asked;
  final long madeMs;

  /** From this token on only this shard may command its machines; 0: rented by this shard. */
  final long fence;

  /** Those still with this shard. */
  final List<Machine> machines = new ArrayList<>();

  boolean asking;

  /** The cloud may have heard of it; so of one found in the records. */
  boolean sent;

  boolean answered;
  private boolean over;
  private long version;
  private long changes;
  private long written;
  private long writing = -1;
  private long sinceMs;
  private boolean hurry;
  private boolean removed;

  /** {@code version} 0: not stored yet. */
  ScaleOutRequest(
      String name,
      int shard,
      ScaleOutRecord asked,
      MachineType type,
      int zone,
      long version,
      long nowMs) {
    this.name = name;
    this.key = ScaleOutRecord.prefix(shard) + name;
    this.asked = asked;
    this.type = type;
    this.zone = zone;
    this.version = version;
    this.fence = asked.fence(version);
    this.madeMs = nowMs;
    this.answered = !asked.open();
    this.sent = version > 0;
    if (version == 0) {
      changed(nowMs, true);
    }
  }

  void changed(long nowMs, boolean soon) {
    if (changes == written) {
      sinceMs = nowMs;
    }
    changes++;
    hurry |= soon;
  }

  boolean recorded() {
    return version > 0;
  }

  /** The cloud has answered; the machines may be used once this is written. */
  void answered(long nowMs) {
    answered = true;
    changed(nowMs, true);
  }

  /** Returned, or another shard's: the record may name it a while longer. */
  void without(Machine m, long nowMs) {
    if (machines.remove(m)) {
      changed(nowMs, false);
    }
  }

  /** Nothing depends on the record any more. */
  void finish(long nowMs) {
    over = true;
    // While it stands without an answer, nobody may adopt a machine of its kind.
    changed(nowMs, !answered);
  }

  @Override
  public boolean dirty() {
    return writing < 0 && !removed && changes > written;
  }

  @Override
  public boolean urgent(long nowMs) {
    return hurry || nowMs - sinceMs >= LAZY_MS;
  }

  @Override
  public int cost() {
    return 1;
  }

  @Override
  public void fill(TransactionBuilder draft) {
    writing = changes;
    hurry = false;
    draft.when(key, version);
    if (over) {
      draft.delete(key);
    } else {
      List<String> names = answered ? machines.stream().map(m -> m.name()).toList() : null;
      draft.put(
          key,
          new ScaleOutRecord(
              asked.type(),
              asked.zone(),
              asked.spot(),
              asked.count(),
              names,
              fence > 0 ? fence : null));
      machines.forEach(m -> m.beginListing());
    }
  }

  @Override
  public void written(long revision) {
    version = revision;
    written = writing;
    writing = -1;
    removed = over;
    for (Machine m : machines) {
      if (m.listing()) {
        m.listed();
      }
    }
  }

  @Override
  public void unwritten() {
    writing = -1;
    hurry = true;
    machines.forEach(m -> m.abandonListing());
  }

  @Override
  public void reread(String k, VersionedValue now) {
    version = now == null ? 0 : now.version();
    removed = over && now == null;
  }

  @Override
  public boolean owns(String k) {
    return k.equals(key);
  }
}
