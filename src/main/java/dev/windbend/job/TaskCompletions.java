package dev.windbend.job;

import dev.windbend.store.PageEntry;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.VersionedValue;
import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.BitSet;
import java.util.List;

/**
 * Which tasks of a job are completed, and which of these completions are stored. The completions of
 * one index range are stored together as one page entry.
 */
final class TaskCompletions {
  /** Number of tasks whose completion is stored in one page entry. */
  static final int TASKS_PER_ENTRY = 8_192;

  /** Completed tasks are collected for at most this time before their entry is written. */
  private static final long MAX_WRITE_DELAY_MS = 1_500;

  private final Job job;
  private final BitSet completedTasks = new BitSet();
  private final Entry[] entries;
  private final List<PageEntry> pageEntries;
  private int completedCount;

  /**
   * Completed tasks whose completion is not stored yet, each with a change count of its {@link
   * Entry}. The completion is stored once that many changes of the entry are stored.
   */
  private final Int2LongOpenHashMap unrecorded = new Int2LongOpenHashMap();

  /** Confirmed terminated placements of the tasks in {@link #unrecorded}, by task. */
  private final Int2ObjectOpenHashMap<Placement> exitedPlacements = new Int2ObjectOpenHashMap<>();

  /** Creates the completions of a job of which no task is completed. */
  TaskCompletions(Job job) {
    this.job = job;
    this.entries = new Entry[(job.spec().tasks() + TASKS_PER_ENTRY - 1) / TASKS_PER_ENTRY];
    for (int i = 0; i < entries.length; i++) {
      entries[i] = new Entry(i);
    }
    this.pageEntries = List.of(entries);
  }

  /** Returns the page entries that store which tasks are completed. */
  List<PageEntry> pageEntries() {
    return pageEntries;
  }

  /** Returns how many tasks are completed. */
  int count() {
    return completedCount;
  }

  /** Returns whether the task is completed, even if this is not stored yet. */
  boolean contains(int task) {
    return completedTasks.get(task);
  }

  /** Returns whether the task is completed and this is stored. */
  boolean isRecorded(int task) {
    return completedTasks.get(task) && !unrecorded.containsKey(task);
  }

  /**
   * Returns whether the placement's record is needed until the completion of its task is stored.
   */
  boolean needsRecord(Placement placement) {
    return exitedPlacements.get(placement.task()) == placement;
  }

  /** Marks the task as completed; returns false if it already is. */
  boolean add(int task, long nowMs) {
    if (!mark(task)) {
      return false;
    }
    Entry entry = entries[task / TASKS_PER_ENTRY];
    entry.recordChange(nowMs);
    unrecorded.put(task, entry.changeCount);
    return true;
  }

  private boolean mark(int task) {
    if (completedTasks.get(task)) {
      return false;
    }
    completedTasks.set(task);
    completedCount++;
    return true;
  }

  /**
   * Marks the tasks as completed that a stored entry lists as completed.
   *
   * @return the indices of these tasks in the job
   */
  BitSet restore(PageEntry entry, JobRecord.CompletedTasks record) {
    int firstTask = ((Entry) entry).index * TASKS_PER_ENTRY;
    BitSet stored = BitSet.valueOf(record.completed() == null ? new byte[0] : record.completed());
    BitSet restored = new BitSet();
    for (int offset = stored.nextSetBit(0); offset >= 0; offset = stored.nextSetBit(offset + 1)) {
      if (firstTask + offset < job.spec().tasks()) {
        mark(firstTask + offset);
        restored.set(firstTask + offset);
      }
    }
    return restored;
  }

  /**
   * Releases the record of a confirmed terminated placement of a completed task once the completion
   * is stored.
   */
  void releaseWhenRecorded(Placement placement) {
    if (job.completionRecorded(placement.task())) {
      placement.batch.releasePlacement();
    } else {
      exitedPlacements.put(placement.task(), placement);
    }
  }

  private void recordStored(int entryIndex, long storedChangeCount) {
    unrecorded
        .int2LongEntrySet()
        .removeIf(
            completion -> {
              int task = completion.getIntKey();
              boolean stored =
                  task / TASKS_PER_ENTRY == entryIndex
                      && completion.getLongValue() <= storedChangeCount;
              if (stored) {
                releaseExited(task);
              }
              return stored;
            });
  }

  private void releaseExited(int task) {
    Placement exited = exitedPlacements.remove(task);
    if (exited != null) {
      exited.batch.releasePlacement();
    }
  }

  /** Stores which tasks of one index range are completed. */
  private final class Entry implements PageEntry {
    private final int index;
    private long changeCount;
    private long writtenChangeCount;
    private long changeCountInFlight = -1;
    private long dirtySinceMs;
    private boolean retryNow;

    Entry(int index) {
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
      return job.spec().uid() + "/" + index;
    }

    @Override
    public boolean dirty() {
      return changeCountInFlight < 0
          && changeCount > writtenChangeCount
          && !job.finished()
          && !job.archived();
    }

    @Override
    public boolean urgent(long nowMs) {
      return retryNow || nowMs - dirtySinceMs >= MAX_WRITE_DELAY_MS;
    }

    @Override
    public boolean obsolete() {
      return job.archived();
    }

    @Override
    public Object snapshot() {
      int firstTask = index * TASKS_PER_ENTRY;
      int endTask = Math.min(job.spec().tasks(), firstTask + TASKS_PER_ENTRY);
      return new JobRecord.CompletedTasks(completedTasks.get(firstTask, endTask).toByteArray());
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
      recordStored(index, writtenChangeCount);
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
      // The entry adds no condition.
    }
  }
}
