package dev.windbend.job;

import dev.windbend.store.PageEntry;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.VersionedValue;
import it.unimi.dsi.fastutil.longs.LongArrayList;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.List;

/**
 * Tasks of a job that a round has placed, as kept in a page: written once, before they may start,
 * and counted until each of them is proved gone or recorded as done. So what is written does not
 * grow with what was placed before.
 */
final class PlacementBatch implements PageEntry {
  /** At so many machines, runs and names of the usual length fill a page. */
  static final int MAX_RUNS = 90;

  private final Job job;
  private final String id;
  private final long attempt;
  private final List<Placement> placements = new ArrayList<>();
  private int runCount;
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

  /** No more go into an entry: it must fit a page. */
  boolean full() {
    return runCount >= MAX_RUNS || inFlight || recorded;
  }

  /** Found in the records. */
  void markRestored() {
    recorded = true;
  }

  /** The record says so: its tasks may start. */
  boolean recorded() {
    return recorded;
  }

  /** Nobody needs this task's placement on record any more. */
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
      // Cancelled or ended meanwhile: then nothing of it may start.
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
