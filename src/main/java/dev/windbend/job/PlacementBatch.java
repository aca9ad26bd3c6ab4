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
  static final int MOST_RUNS = 90;

  private final Job job;
  private final String id;
  private final long attempt;
  private final List<Placement> tasks = new ArrayList<>();
  private int runs;
  private int open;
  private boolean written;
  private boolean inFlight;

  PlacementBatch(Job job, String id, long attempt) {
    this.job = job;
    this.id = id;
    this.attempt = attempt;
  }

  long attempt() {
    return attempt;
  }

  void add(Placement p) {
    Placement last = tasks.isEmpty() ? null : tasks.get(tasks.size() - 1);
    if (last == null
        || last.task() + 1 != p.task()
        || !last.machineName().equals(p.machineName())) {
      runs++;
    }
    tasks.add(p);
    open++;
  }

  /** No more go into an entry: it must fit a page. */
  boolean full() {
    return runs >= MOST_RUNS || inFlight || written;
  }

  /** Found in the records. */
  void restored() {
    written = true;
  }

  /** The record says so: its tasks may start. */
  boolean recorded() {
    return written;
  }

  /** Nobody needs this task's placement on record any more. */
  void close() {
    open--;
  }

  @Override
  public String id() {
    return id;
  }

  @Override
  public boolean dirty() {
    return !written && !inFlight && !obsolete();
  }

  @Override
  public boolean urgent(long nowMs) {
    return true;
  }

  @Override
  public boolean obsolete() {
    return open <= 0 || job.archived();
  }

  @Override
  public Object snapshot() {
    Object2IntOpenHashMap<String> indices = new Object2IntOpenHashMap<>();
    List<String> machines = new ArrayList<>();
    LongArrayList runs = new LongArrayList();
    Placement last = null;
    for (Placement p : tasks) {
      if (!job.needsRecord(p)) {
        continue;
      }
      if (last != null
          && p.task() == last.task() + 1
          && p.machineName().equals(last.machineName())) {
        int count = runs.size() - JobRecord.PlacementBatch.RUN + 1;
        runs.set(count, runs.getLong(count) + 1);
      } else {
        if (!indices.containsKey(p.machineName())) {
          indices.put(p.machineName(), machines.size());
          machines.add(p.machineName());
        }
        runs.add(p.task());
        runs.add(1);
        runs.add(indices.getInt(p.machineName()));
      }
      last = p;
    }
    return JobRecord.PlacementBatch.of(attempt, machines, runs.toLongArray());
  }

  @Override
  public void beginWrite(TransactionBuilder draft) {
    inFlight = true;
    if (!written) {
      // Cancelled or ended meanwhile: then nothing of it may start.
      draft.ifVersion(job.key(), job.version());
    }
  }

  @Override
  public void onApplied() {
    inFlight = false;
    written = true;
  }

  @Override
  public void onNotApplied() {
    inFlight = false;
  }

  @Override
  public boolean dependsOn(String key) {
    return key.equals(job.key());
  }

  @Override
  public void onConflict(VersionedValue now) {
    job.reread(now);
  }
}
