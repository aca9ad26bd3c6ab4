package dev.windbend.machine;

import dev.windbend.store.PendingWrite;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.VersionedValue;
import java.util.ArrayList;
import java.util.List;

/**
 * One request for machines, or machines transferred together, kept in one record: before the
 * request is sent to the cloud, with its machines once it has answered, and until none of them is
 * left with this shard. A record for each machine would take most of the changes that the state
 * service allows.
 */
final class ScaleOutRequest implements PendingWrite {
  /** A machine too many does no harm: a successor looks for it in the cloud's list. */
  private static final long MAX_WRITE_DELAY_MS = 60_000;

  final String name;
  final String key;
  final MachineType type;
  final int zone;
  final ScaleOutRecord record;
  final long requestedMs;

  /** From this token on only this shard may command its machines; 0: requested by this shard. */
  final long fence;

  /** Those still with this shard. */
  final List<Machine> machines = new ArrayList<>();

  boolean callInProgress;

  /** The cloud may have heard of it; so of one found in the records. */
  boolean sent;

  boolean answered;
  private boolean finished;
  private long version;

  /** How many changes there were. */
  private long changeCount;

  /** How many of the changes are stored. */
  private long storedCount;

  /** How many of the changes are in the write under way; -1: there is none. */
  private long inFlightCount = -1;

  /** When the oldest change that is not written was made (steady clock). */
  private long unstoredSinceMs;

  private boolean urgent;

  /** The record is deleted. */
  private boolean deleted;

  /** {@code version} 0: not stored yet. */
  ScaleOutRequest(
      String name,
      int shard,
      ScaleOutRecord record,
      MachineType type,
      int zone,
      long version,
      long nowMs) {
    this.name = name;
    this.key = ScaleOutRecord.shardPrefix(shard) + name;
    this.record = record;
    this.type = type;
    this.zone = zone;
    this.version = version;
    this.fence = record.effectiveFence(version);
    this.requestedMs = nowMs;
    this.answered = !record.unanswered();
    this.sent = version > 0;
    if (version == 0) {
      markChanged(nowMs, true);
    }
  }

  /** The record differs from what is stored. */
  void markChanged(long nowMs, boolean changeUrgent) {
    if (changeCount == storedCount) {
      unstoredSinceMs = nowMs;
    }
    changeCount++;
    urgent |= changeUrgent;
  }

  /** Some version of it is stored. */
  boolean recorded() {
    return version > 0;
  }

  /** The cloud has answered; the machines may be used once this is written. */
  void recordAnswer(long nowMs) {
    answered = true;
    markChanged(nowMs, true);
  }

  /** Returned, or another shard's: the record may name it a while longer. */
  void remove(Machine machine, long nowMs) {
    if (machines.remove(machine)) {
      markChanged(nowMs, false);
    }
  }

  /** Nothing depends on the record any more. */
  void finish(long nowMs) {
    finished = true;
    // While it stands without an answer, nobody may adopt a machine of its kind.
    markChanged(nowMs, !answered);
  }

  @Override
  public boolean dirty() {
    return inFlightCount < 0 && !deleted && changeCount > storedCount;
  }

  @Override
  public boolean urgent(long nowMs) {
    return urgent || nowMs - unstoredSinceMs >= MAX_WRITE_DELAY_MS;
  }

  @Override
  public int writeCount() {
    return 1;
  }

  @Override
  public void addTo(TransactionBuilder transaction) {
    inFlightCount = changeCount;
    urgent = false;
    transaction.ifVersion(key, version);
    if (finished) {
      transaction.delete(key);
    } else {
      List<String> names = answered ? machines.stream().map(Machine::name).toList() : null;
      transaction.put(
          key,
          new ScaleOutRecord(
              record.type(),
              record.zone(),
              record.spot(),
              record.count(),
              names,
              fence > 0 ? fence : null));
      machines.forEach(machine -> machine.beginRecordWrite());
    }
  }

  @Override
  public void onApplied(long revision) {
    version = revision;
    storedCount = inFlightCount;
    inFlightCount = -1;
    deleted = finished;
    for (Machine machine : machines) {
      if (machine.recordWriteInProgress()) {
        machine.completeRecordWrite();
      }
    }
  }

  @Override
  public void onNotApplied() {
    inFlightCount = -1;
    urgent = true;
    machines.forEach(machine -> machine.recordWriteFailed());
  }

  @Override
  public void onConflict(String changedKey, VersionedValue stored) {
    version = stored == null ? 0 : stored.version();
    deleted = finished && stored == null;
  }

  @Override
  public boolean dependsOn(String changedKey) {
    return changedKey.equals(key);
  }
}
