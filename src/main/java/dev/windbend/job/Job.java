package dev.windbend.job;

import dev.windbend.runtime.Json;
import dev.windbend.store.PageEntry;
import dev.windbend.store.PendingWrite;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.VersionedValue;
import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A live job as its shard's owner sees it, with the records that keep it. */
public final class Job {
  /** Tasks whose ends are recorded together. */
  static final int TASKS_PER_COMPLETION_ENTRY = 8_192;

  private static final long MAX_COMPLETION_WRITE_DELAY_MS = 1_500;
  private static final int CYCLE_BITS = 32;

  private final JobSpec spec;
  private final String recordKey;
  private final long submittedWallMs;
  private final int teamIndex;
  private boolean cancelled;
  private long recordVersion;
  private final CompletionEntry[] completionEntries;
  private final List<PageEntry> pageEntries;
  private final ArchiveWrite archiveWrite = new ArchiveWrite();
  private final BitSet completedTasks = new BitSet();
  private final BitSet waitingTasks = new BitSet();
  private int completedCount;
  private int waitingTaskCount;
  private final Int2ObjectOpenHashMap<Placement> placementByTask = new Int2ObjectOpenHashMap<>();

  /** Done, and not recorded as done yet: which state of the piece will say it. */
  private final Int2LongOpenHashMap unrecordedCompletions = new Int2LongOpenHashMap();

  /** Placements of such tasks. */
  private final Int2ObjectOpenHashMap<Placement> exitedPlacements = new Int2ObjectOpenHashMap<>();

  private final List<PlacementBatch> newBatches = new ArrayList<>();
  private PlacementBatch currentBatch;
  private long currentCycle = -1;
  private int nextBatchNumber;
  private boolean archived;
  private boolean started;

  private long notBeforeMs;

  /** When a task of it was placed or completed last, or this owner took the job in (steady). */
  private long lastProgressMs;

  private int backOffCount;
  private final Set<String> failedMachines = new HashSet<>();

  public Job(JobRecord.Live record, long version, int team, long nowMs) {
    this.lastProgressMs = nowMs;
    this.spec = record.spec();
    this.recordKey = JobRecord.LIVE_PREFIX + spec.uid();
    this.submittedWallMs = record.submittedWallMs();
    this.cancelled = record.cancelled();
    this.recordVersion = version;
    this.teamIndex = team;
    this.completionEntries =
        new CompletionEntry
            [(spec.tasks() + TASKS_PER_COMPLETION_ENTRY - 1) / TASKS_PER_COMPLETION_ENTRY];
    for (int i = 0; i < completionEntries.length; i++) {
      completionEntries[i] = new CompletionEntry(i);
    }
    this.pageEntries = List.of(completionEntries);
    waitingTasks.set(0, spec.tasks());
    waitingTaskCount = spec.tasks();
  }

  /** What its user submitted. */
  public JobSpec spec() {
    return spec;
  }

  /** Key of its live record in the state service. */
  public String recordKey() {
    return recordKey;
  }

  /** When it was submitted (wall clock, ms). */
  public long submittedWallMs() {
    return submittedWallMs;
  }

  /** Dense index of its team. */
  public int teamIndex() {
    return teamIndex;
  }

  /** Whether it is finally cancelled: none of its tasks is placed or started any more. */
  public boolean cancelled() {
    return cancelled;
  }

  /** No task of it is placed before this time (steady clock, ms); 0: no such limit. */
  public long notBeforeMs() {
    return notBeforeMs;
  }

  /** How often it has been backed off after its tasks failed on several machines. */
  public int backOffCount() {
    return backOffCount;
  }

  /** NameIndex of the machines on which its tasks have failed since its last back-off. */
  public Iterable<String> failedMachines() {
    return failedMachines;
  }

  /** How many machines its tasks have failed on since its last back-off. */
  public int failedMachineCount() {
    return failedMachines.size();
  }

  /** A task of it failed on this machine, which is avoided from now on. */
  public void recordFailedMachine(String machineName) {
    failedMachines.add(machineName);
  }

  /** No machine is avoided any more for failures of its tasks. */
  public void clearFailedMachines() {
    failedMachines.clear();
  }

  /** Its tasks wait until this time (steady clock, ms). */
  public void deferUntil(long untilMs) {
    notBeforeMs = untilMs;
  }

  /** Its tasks failed on several machines: they wait until this time (steady clock, ms). */
  public void backOffUntil(long untilMs) {
    backOffCount++;
    notBeforeMs = untilMs;
  }

  private void setWaiting(int task, boolean isWaiting) {
    if (waitingTasks.get(task) != isWaiting) {
      waitingTasks.set(task, isWaiting);
      waitingTaskCount += isWaiting ? 1 : -1;
    }
  }

  private void markCompleted(int task) {
    if (!completedTasks.get(task)) {
      completedTasks.set(task);
      completedCount++;
    }
    setWaiting(task, false);
  }

  /** Takes over what the record says of the ends of tasks. */
  void restoreCompletedTasks(PageEntry entry, JobRecord.CompletedTasks record) {
    int firstTask = ((CompletionEntry) entry).index * TASKS_PER_COMPLETION_ENTRY;
    BitSet completed =
        BitSet.valueOf(record.completed() == null ? new byte[0] : record.completed());
    for (int offset = completed.nextSetBit(0);
        offset >= 0;
        offset = completed.nextSetBit(offset + 1)) {
      if (firstTask + offset < spec.tasks()) {
        markCompleted(firstTask + offset);
      }
    }
  }

  /**
   * Takes over placements, for the machines to confirm. Of a task that was placed several times the
   * last attempt counts: the others were proved gone before it.
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
        if (completedTasks.get(task)
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

  static final char BATCH_SEPARATOR = ':';

  private int batchNumber(String id) {
    try {
      return Integer.parseInt(id.substring(id.lastIndexOf(BATCH_SEPARATOR) + 1));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /** What the owner keeps of the ends of its tasks, in pages. */
  List<PageEntry> pageEntries() {
    return pageEntries;
  }

  /** What was placed since the last call, to be written. */
  List<PlacementBatch> drainNewBatches() {
    List<PlacementBatch> all = List.copyOf(newBatches);
    newBatches.clear();
    return all;
  }

  long recordVersion() {
    return recordVersion;
  }

  /** A successor must find this placement: it is not proved gone, or its end is not recorded. */
  boolean needsRecord(Placement placement) {
    return placementByTask.get(placement.task()) == placement
        || exitedPlacements.get(placement.task()) == placement;
  }

  public int waitingCount() {
    return cancelled ? 0 : waitingTaskCount;
  }

  /** How long it has been without a task placed or completed. */
  public long timeSinceProgressMs(long nowMs) {
    return nowMs - lastProgressMs;
  }

  public int completedCount() {
    return completedCount;
  }

  public Collection<Placement> placements() {
    return placementByTask.values();
  }

  public Placement placement(int task) {
    return placementByTask.get(task);
  }

  public boolean isCompleted(int task) {
    return completedTasks.get(task);
  }

  public boolean allCompleted() {
    return completedCount == spec.tasks();
  }

  /** Nothing of it is left to do or to prove gone. */
  public boolean finished() {
    return allCompleted() || (cancelled && placementByTask.isEmpty());
  }

  public boolean archived() {
    return archived;
  }

  public int nextWaitingTask() {
    return waitingTasks.nextSetBit(0);
  }

  /**
   * Attempts only grow: by the token from owner to owner, and by the round within an owner's time.
   * No two attempts of a task are placed in one round.
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

  /** Its start may go out: the record says so. */
  public boolean mayStart(Placement placement) {
    return !placement.inherited()
        && !cancelled
        && !placement.stopRequested()
        && placement.batch.recorded();
  }

  /** The attempt is proved gone; unless the task is done it waits again. */
  public void confirmTerminated(Placement placement) {
    if (!placementByTask.remove(placement.task(), placement)) {
      return;
    }
    if (!completedTasks.get(placement.task())) {
      setWaiting(placement.task(), true);
      placement.batch.releasePlacement();
    } else if (completionRecorded(placement.task())) {
      placement.batch.releasePlacement();
    } else {
      exitedPlacements.put(placement.task(), placement);
    }
  }

  public void complete(int task, long nowMs) {
    if (!completedTasks.get(task)) {
      markCompleted(task);
      lastProgressMs = nowMs;
      CompletionEntry entry = completionEntries[task / TASKS_PER_COMPLETION_ENTRY];
      entry.recordChange(nowMs);
      unrecordedCompletions.put(task, entry.changeCount);
    }
  }

  /** The record says that this task is done, so its exit need not be kept on the machine. */
  public boolean completionRecorded(int task) {
    return archived || (completedTasks.get(task) && !unrecordedCompletions.containsKey(task));
  }

  /** The move to its final record. */
  public PendingWrite archiveWrite() {
    return archiveWrite;
  }

  /** Begun: some task has been placed, or is done. */
  public boolean started() {
    return started || !placementByTask.isEmpty() || completedCount > 0;
  }

  /** A change of the live record by anybody: a cancellation, or our own write. */
  public void onRecordChange(JobRecord.Live record, long newVersion) {
    if (newVersion > this.recordVersion) {
      this.recordVersion = newVersion;
      if (record.cancelled()) {
        // Here, whoever brings the news: a write of ours that fails on it may be the first.
        cancel();
      }
    }
  }

  /** It is finally cancelled, though our copy of its record may not say so yet. */
  public void cancel() {
    cancelled = true;
    placementByTask.values().forEach(p -> p.requestStop(0));
  }

  /** Which of some neighbouring tasks are done, as kept in a page. */
  private final class CompletionEntry implements PageEntry {
    private final int index;
    private long changeCount;
    private long writtenChangeCount;
    private long changeCountInFlight = -1;
    private long dirtySinceMs;
    private boolean retryNow;

    CompletionEntry(int index) {
      this.index = index;
    }

    void recordChange(long nowMs) {
      if (changeCount == writtenChangeCount) {
        dirtySinceMs = nowMs;
      }
      changeCount++;
    }

    @Override
    public String id() {
      return spec.uid() + "/" + index;
    }

    @Override
    public boolean dirty() {
      return changeCountInFlight < 0
          && changeCount > writtenChangeCount
          && !Job.this.finished()
          && !archived;
    }

    @Override
    public boolean urgent(long nowMs) {
      return retryNow || nowMs - dirtySinceMs >= MAX_COMPLETION_WRITE_DELAY_MS;
    }

    @Override
    public boolean obsolete() {
      return archived;
    }

    @Override
    public Object snapshot() {
      int firstTask = index * TASKS_PER_COMPLETION_ENTRY;
      return new JobRecord.CompletedTasks(
          completedTasks
              .get(firstTask, Math.min(spec.tasks(), firstTask + TASKS_PER_COMPLETION_ENTRY))
              .toByteArray());
    }

    @Override
    public void beginWrite(TransactionBuilder transaction) {
      changeCountInFlight = changeCount;
      retryNow = false;
    }

    @Override
    public void onApplied() {
      writtenChangeCount = changeCountInFlight;
      changeCountInFlight = -1;
      unrecordedCompletions
          .int2LongEntrySet()
          .removeIf(
              completion -> {
                int task = completion.getIntKey();
                boolean recorded =
                    task / TASKS_PER_COMPLETION_ENTRY == index
                        && completion.getLongValue() <= writtenChangeCount;
                if (recorded) {
                  Placement exited = exitedPlacements.remove(task);
                  if (exited != null) {
                    exited.batch.releasePlacement();
                  }
                }
                return recorded;
              });
    }

    @Override
    public void onNotApplied() {
      changeCountInFlight = -1;
      retryNow = true;
    }

    @Override
    public boolean dependsOn(String key) {
      return false;
    }

    @Override
    public void onConflict(VersionedValue stored) {
      // depends on nothing
    }
  }

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

  /** Moves the job to its final record, once: the live key must be as this owner knows it. */
  private final class ArchiveWrite implements PendingWrite {
    private boolean inFlight;

    @Override
    public boolean dirty() {
      return !inFlight && !archived && finished();
    }

    @Override
    public boolean urgent(long nowMs) {
      return true;
    }

    @Override
    public int writeCount() {
      return 2;
    }

    @Override
    public void addTo(TransactionBuilder transaction) {
      inFlight = true;
      transaction.ifVersion(recordKey, recordVersion);
      transaction.delete(recordKey);
      transaction.put(
          JobRecord.ENDED_PREFIX + spec.uid(),
          new JobRecord.Ended(cancelled ? JobStatus.CANCELLED : JobStatus.DONE, completedCount()));
    }

    @Override
    public void onApplied(long revision) {
      inFlight = false;
      archived = true;
    }

    @Override
    public void onNotApplied() {
      inFlight = false;
    }

    @Override
    public boolean dependsOn(String key) {
      return key.equals(recordKey);
    }

    @Override
    public void onConflict(String key, VersionedValue stored) {
      Job.this.applyStoredRecord(stored);
    }
  }
}
