package dev.windbend.machine;

import dev.windbend.store.PendingWrite;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.VersionedValue;
import java.util.ArrayList;
import java.util.List;

/**
 * A request for machines, or a group of machines transferred together, stored as one {@link
 * ScaleOutRecord}. The record is written before the request is sent to the cloud, gets the names of
 * the machines when the cloud has answered, and is deleted when none of them belongs to this shard
 * any more. One record per machine would use most of the write rate of the state service.
 */
final class ScaleOutRequest implements PendingWrite {
  /**
   * Maximum delay of a write that only removes machines. A stored record that still names
   * terminated machines does no harm: the next leader finds them missing from the cloud's list.
   */
  private static final long MAX_WRITE_DELAY_MS = 60_000;

  final String name;
  final String key;
  final MachineType type;
  final int zone;
  final ScaleOutRecord record;
  final long requestedMs;

  /**
   * Only this shard may command the machines with tokens equal to this one or higher; 0: the
   * machines were requested by this shard.
   */
  final long fence;

  /** Machines of this request that still belong to this shard. */
  final List<Machine> machines = new ArrayList<>();

  /** Whether a call to the cloud, or the delay before its repetition, is in progress. */
  boolean callInProgress;

  /** Whether the cloud may have received it; always true for a request restored from its record. */
  boolean sent;

  boolean answered;
  private boolean finished;
  private long version;

  /** Number of changes made. */
  private long changeCount;

  /** Number of changes that are stored. */
  private long storedCount;

  /** Number of changes stored once the write in flight is applied; -1: no write in flight. */
  private long inFlightCount = -1;

  /** When the oldest change that is not stored was made (monotonic clock). */
  private long unstoredSinceMs;

  private boolean urgent;

  /** Whether the record is deleted. */
  private boolean deleted;

  /**
   * Creates a request from its record.
   *
   * @param version version of the stored record; 0: not stored yet
   * @param nowMs monotonic clock
   */
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

  /**
   * Records that the record now differs from its stored version.
   *
   * @param changeUrgent whether the change has to be written without delay
   */
  void markChanged(long nowMs, boolean changeUrgent) {
    if (changeCount == storedCount) {
      unstoredSinceMs = nowMs;
    }
    changeCount++;
    urgent |= changeUrgent;
  }

  /** Whether any version of the record is stored. */
  boolean recorded() {
    return version > 0;
  }

  /** Records that the cloud has answered. The machines may be used once that is stored. */
  void recordAnswer(long nowMs) {
    answered = true;
    markChanged(nowMs, true);
  }

  /** Removes a terminated or transferred machine; the stored record may name it for longer. */
  void remove(Machine machine, long nowMs) {
    if (machines.remove(machine)) {
      markChanged(nowMs, false);
    }
  }

  /** Marks the record for deletion. */
  void finish(long nowMs) {
    finished = true;
    // While an unanswered request is stored, no machine of its kind can be adopted as orphaned.
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
