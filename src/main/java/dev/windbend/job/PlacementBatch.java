package dev.windbend.job;

import dev.windbend.store.PageEntry;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.VersionedValue;
import it.unimi.dsi.fastutil.longs.LongArrayList;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.List;

/**
 * The placements of a job that one scheduling cycle made, stored as one page entry. The entry is
 * written once, before the tasks may start, and is needed until each placement is confirmed
 * terminated and the completion of its task, if any, is stored. A cycle therefore writes only its
 * new placements.
 */
final class PlacementBatch implements PageEntry {
  /**
   * Maximum number of runs in a batch. This many runs with machine names of the usual length fill a
   * page.
   */
  static final int MAX_RUNS = 90;

  private final Job job;
  private final String id;
  private final long attempt;
  private final List<Placement> placements = new ArrayList<>();
  private int runCount;

  /** Number of placements whose record is still needed. */
  private int neededPlacements;

  private boolean recorded;
  private boolean inFlight;

  PlacementBatch(Job job, String id, long attempt) {
    this.job = job;
    this.id = id;
    this.attempt = attempt;
  }

  long attempt() {
    return attempt;
  }

  /** Adds a placement. Consecutive tasks on the same machine form one run. */
  void add(Placement placement) {
    Placement last = placements.isEmpty() ? null : placements.get(placements.size() - 1);
    if (last == null
        || last.task() + 1 != placement.task()
        || !last.machineName().equals(placement.machineName())) {
      runCount++;
    }
    placements.add(placement);
    neededPlacements++;
  }

  /**
   * Returns whether no further placement may be added: the entry must fit into a page, and an entry
   * that was sent must not change.
   */
  boolean full() {
    return runCount >= MAX_RUNS || inFlight || recorded;
  }

  /** Marks the batch as stored, because it was restored from the records. */
  void markRestored() {
    recorded = true;
  }

  /** Returns whether the batch is stored, so that its tasks may start. */
  boolean recorded() {
    return recorded;
  }

  /** Records that one placement of the batch no longer needs its record. */
  void releasePlacement() {
    neededPlacements--;
  }

  @Override
  public String id() {
    return id;
  }

  @Override
  public boolean dirty() {
    return !recorded && !inFlight && !obsolete();
  }

  @Override
  public boolean urgent(long nowMs) {
    return true;
  }

  @Override
  public boolean obsolete() {
    return neededPlacements <= 0 || job.archived();
  }

  @Override
  public Object snapshot() {
    Object2IntOpenHashMap<String> machineIndexByName = new Object2IntOpenHashMap<>();
    List<String> machines = new ArrayList<>();
    LongArrayList runs = new LongArrayList();
    Placement last = null;
    for (Placement placement : placements) {
      if (!job.needsRecord(placement)) {
        continue;
      }
      if (last != null
          && placement.task() == last.task() + 1
          && placement.machineName().equals(last.machineName())) {
        int countIndex = runs.size() - JobRecord.PlacementBatch.NUMBERS_PER_RUN + 1;
        runs.set(countIndex, runs.getLong(countIndex) + 1);
      } else {
        if (!machineIndexByName.containsKey(placement.machineName())) {
          machineIndexByName.put(placement.machineName(), machines.size());
          machines.add(placement.machineName());
        }
        runs.add(placement.task());
        runs.add(1);
        runs.add(machineIndexByName.getInt(placement.machineName()));
      }
      last = placement;
    }
    return JobRecord.PlacementBatch.of(attempt, machines, runs.toLongArray());
  }

  @Override
  public void beginWrite(TransactionBuilder transaction) {
    inFlight = true;
    if (!recorded) {
      // If the job was cancelled or archived meanwhile, the write fails and none of its tasks
      // starts.
      transaction.ifVersion(job.recordKey(), job.recordVersion());
    }
  }

  @Override
  public void onApplied() {
    inFlight = false;
    recorded = true;
  }

  @Override
  public void onNotApplied() {
    inFlight = false;
  }

  @Override
  public boolean dependsOn(String key) {
    return key.equals(job.recordKey());
  }

  @Override
  public void onConflict(VersionedValue stored) {
    job.applyStoredRecord(stored);
  }
}
