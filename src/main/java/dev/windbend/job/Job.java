package dev.windbend.job;

import dev.windbend.runtime.Json;
import dev.windbend.store.PageEntry;
import dev.windbend.store.PendingWrite;
import dev.windbend.store.VersionedValue;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;

/**
 * A live job in the memory of its shard's leader. It tracks the state of each task and provides the
 * records that are written to the state service: placement batches, completed tasks and the final
 * record.
 */
public final class Job {
  /**
   * Number of low bits of an attempt that hold the scheduling cycle; the high bits hold the token.
   */
  private static final int CYCLE_BITS = 32;

  private final JobSpec spec;
  private final String recordKey;
  private final long submittedWallMs;
  private final int teamIndex;
  private boolean cancelled;
  private long recordVersion;
  private final TaskCompletions completions;
  private final ArchiveWrite archiveWrite = new ArchiveWrite(this);
  private final JobBackoff backoff = new JobBackoff();
  private final BitSet waitingTasks = new BitSet();
  private int waitingTaskCount;
  private final Int2ObjectOpenHashMap<Placement> placementByTask = new Int2ObjectOpenHashMap<>();

  /** Placement batches that were not handed out for writing yet. */
  private final List<PlacementBatch> newBatches = new ArrayList<>();

  private PlacementBatch currentBatch;
  private long currentCycle = -1;
  private int nextBatchNumber;
  private boolean archived;
  private boolean started;

  /**
   * Time at which a task was last placed or completed, or at which this leader restored the job
   * (monotonic clock).
   */
  private long lastProgressMs;

  /**
   * Creates a job whose tasks are all waiting.
   *
   * @param recordVersion version of the live record's key in the state service
   * @param teamIndex index of the job's team within the shard
   * @param nowMs current time by the monotonic clock
   */
  public Job(JobRecord.Live record, long recordVersion, int teamIndex, long nowMs) {
    this.lastProgressMs = nowMs;
    this.spec = record.spec();
    this.recordKey = JobRecord.LIVE_PREFIX + spec.uid();
    this.submittedWallMs = record.submittedWallMs();
    this.cancelled = record.cancelled();
    this.recordVersion = recordVersion;
    this.teamIndex = teamIndex;
    this.completions = new TaskCompletions(this);
    waitingTasks.set(0, spec.tasks());
    waitingTaskCount = spec.tasks();
  }

  /** Returns the job as its user submitted it. */
  public JobSpec spec() {
    return spec;
  }

  /** Returns the key of the job's live record in the state service. */
  public String recordKey() {
    return recordKey;
  }

  /** Returns when the job was submitted, in milliseconds of the wall clock. */
  public long submittedWallMs() {
    return submittedWallMs;
  }

  /** Returns the index of the job's team within the shard, counted from 0. */
  public int teamIndex() {
    return teamIndex;
  }

  /**
   * Returns whether the job is cancelled. This is final: its tasks are neither placed nor started
   * any more.
   */
  public boolean cancelled() {
    return cancelled;
  }

  /** Returns the failures of the job's tasks, and how long their placement is deferred. */
  public JobBackoff backoff() {
    return backoff;
  }

  private void setWaiting(int task, boolean isWaiting) {
    if (waitingTasks.get(task) != isWaiting) {
      waitingTasks.set(task, isWaiting);
      waitingTaskCount += isWaiting ? 1 : -1;
    }
  }

  /** Marks the tasks as completed that a stored entry lists as completed. */
  void restoreCompletedTasks(PageEntry entry, JobRecord.CompletedTasks record) {
    completions.restore(entry, record).stream().forEach(task -> setWaiting(task, false));
  }

  /**
   * Restores the placements of a stored batch; the machines confirm them later. If a task was
   * placed several times, the placement with the highest attempt is valid, because a task is placed
   * again only after its previous attempt was confirmed terminated.
   *
   * @param id the id of the stored page entry
   * @return the batch as a page entry
   */
  PageEntry restoreBatch(String id, JobRecord.PlacementBatch record, long nowMs) {
    PlacementBatch batch = new PlacementBatch(this, id, record.attempt());
    batch.markRestored();
    nextBatchNumber = Math.max(nextBatchNumber, batchNumber(id) + 1);
    for (int run = 0; run < record.runCount(); run++) {
      String machine = record.machineName(run);
      for (int offset = 0; offset < record.taskCount(run); offset++) {
        int task = record.firstTask(run) + offset;
        Placement previous = placementByTask.get(task);
        if (completions.contains(task)
            || (previous != null && previous.attempt() >= record.attempt())) {
          continue;
        }
        if (previous != null) {
          previous.batch.releasePlacement();
        }
        Placement placement =
            new Placement(this, task, record.attempt(), machine, batch, true, nowMs);
        batch.add(placement);
        placementByTask.put(task, placement);
        setWaiting(task, false);
      }
    }
    return batch;
  }

  /** Separates the job id from the batch number in the id of a placement batch. */
  static final char BATCH_SEPARATOR = ':';

  /** Returns the number of the batch with this id; 0 if the id is malformed. */
  private int batchNumber(String id) {
    try {
      return Integer.parseInt(id.substring(id.lastIndexOf(BATCH_SEPARATOR) + 1));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /** Returns the page entries that store which tasks are completed. */
  List<PageEntry> pageEntries() {
    return completions.pageEntries();
  }

  /** Returns the placement batches created since the last call; they are to be written. */
  List<PlacementBatch> drainNewBatches() {
    List<PlacementBatch> all = List.copyOf(newBatches);
    newBatches.clear();
    return all;
  }

  /** Returns the last known version of the live record's key. */
  long recordVersion() {
    return recordVersion;
  }

  /**
   * Returns whether the next leader must find the placement in the records: it is not confirmed
   * terminated, or the completion of its task is not stored yet.
   */
  boolean needsRecord(Placement placement) {
    return placementByTask.get(placement.task()) == placement || completions.needsRecord(placement);
  }

  /** Returns how many tasks are waiting to be placed; 0 if the job is cancelled. */
  public int waitingCount() {
    return cancelled ? 0 : waitingTaskCount;
  }

  /** Returns for how many milliseconds no task of the job has been placed or completed. */
  public long timeSinceProgressMs(long nowMs) {
    return nowMs - lastProgressMs;
  }

  /** Returns how many tasks are completed. */
  public int completedCount() {
    return completions.count();
  }

  /** Returns a live view of the placements that are not confirmed terminated. */
  public Collection<Placement> placements() {
    return placementByTask.values();
  }

  /** Returns the placement of the task that is not confirmed terminated; null if there is none. */
  public Placement placement(int task) {
    return placementByTask.get(task);
  }

  /** Returns whether the task is completed, even if this is not stored yet. */
  public boolean isCompleted(int task) {
    return completions.contains(task);
  }

  /** Returns whether all tasks are completed. */
  public boolean allCompleted() {
    return completions.count() == spec.tasks();
  }

  /**
   * Returns whether the job has no task left to run: all tasks are completed, or the job is
   * cancelled and all its placements are confirmed terminated.
   */
  public boolean finished() {
    return allCompleted() || (cancelled && placementByTask.isEmpty());
  }

  /** Returns whether the live record was replaced by the final record. */
  public boolean archived() {
    return archived;
  }

  /** Returns the waiting task with the lowest index; -1 if no task is waiting. */
  public int nextWaitingTask() {
    return waitingTasks.nextSetBit(0);
  }

  /**
   * Places a task on a machine. Attempts of a task only increase: from leader to leader by the
   * token, and under one leader by the cycle, because a cycle places a task at most once.
   *
   * @param machine the name of the machine
   * @param token the token of this leader
   * @param cycle the number of the scheduling cycle
   */
  public Placement place(int task, String machine, long nowMs, long token, long cycle) {
    if (currentBatch == null || currentCycle != cycle || currentBatch.full()) {
      long attempt = (token << CYCLE_BITS) + cycle;
      currentBatch =
          new PlacementBatch(this, spec.uid() + BATCH_SEPARATOR + nextBatchNumber++, attempt);
      currentCycle = cycle;
      newBatches.add(currentBatch);
    }
    Placement placement =
        new Placement(this, task, currentBatch.attempt(), machine, currentBatch, false, nowMs);
    currentBatch.add(placement);
    placementByTask.put(task, placement);
    setWaiting(task, false);
    lastProgressMs = nowMs;
    started = true;
    return placement;
  }

  /**
   * Returns whether the start of the placement may be sent: the placement was made by this leader
   * and is stored, no stop of it is requested, and the job is not cancelled.
   */
  public boolean mayStart(Placement placement) {
    return !placement.inherited()
        && !cancelled
        && !placement.stopRequested()
        && placement.batch.recorded();
  }

  /**
   * Removes a placement that is confirmed terminated. Its task waits again unless it is completed.
   */
  public void confirmTerminated(Placement placement) {
    if (!placementByTask.remove(placement.task(), placement)) {
      return;
    }
    if (completions.contains(placement.task())) {
      completions.releaseWhenRecorded(placement);
    } else {
      setWaiting(placement.task(), true);
      placement.batch.releasePlacement();
    }
  }

  /** Marks the task as completed; has no effect if it already is. */
  public void complete(int task, long nowMs) {
    if (completions.add(task, nowMs)) {
      setWaiting(task, false);
      lastProgressMs = nowMs;
    }
  }

  /**
   * Returns whether the completion of the task is stored, so that the worker need not keep its exit
   * any longer.
   */
  public boolean completionRecorded(int task) {
    return archived || completions.isRecorded(task);
  }

  /** Returns the write that replaces the live record by the final record. */
  public PendingWrite archiveWrite() {
    return archiveWrite;
  }

  /** Returns whether any task has been placed or completed. */
  public boolean started() {
    return started || !placementByTask.isEmpty() || completions.count() > 0;
  }

  /**
   * Applies the live record if its version is newer than the known one. A cancellation in the
   * record cancels the job.
   */
  public void onRecordChange(JobRecord.Live record, long newVersion) {
    if (newVersion > this.recordVersion) {
      this.recordVersion = newVersion;
      if (record.cancelled()) {
        // A conflict of a write may show the cancellation before the replica does.
        cancel();
      }
    }
  }

  /**
   * Cancels the job and requests the stop of all its placements. Its record may not show the
   * cancellation yet.
   */
  public void cancel() {
    cancelled = true;
    placementByTask.values().forEach(p -> p.requestStop(0));
  }

  /** Records that the live record was replaced by the final record. */
  void markArchived() {
    archived = true;
  }

  /**
   * Applies the current value of the live record's key.
   *
   * @param stored null if the key does not exist, which means that the job is archived
   */
  void applyStoredRecord(VersionedValue stored) {
    if (stored == null) {
      archived = true;
      return;
    }
    JobRecord.Live record = Json.read(stored.value(), JobRecord.Live.class);
    if (record != null) {
      onRecordChange(record, stored.version());
    }
  }
}
