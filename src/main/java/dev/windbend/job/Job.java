package dev.windbend.job;

import dev.windbend.daemon.io.Json;
import dev.windbend.store.Draft;
import dev.windbend.store.Entry;
import dev.windbend.store.Stored;
import dev.windbend.store.Unit;
import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.longs.LongArrayList;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;

/** A live job as its part's owner sees it, with the records that keep it. */
public final class Job {
  /** Tasks per record: even with every one placed elsewhere, a piece stays below 4 KiB. */
  static final int PIECE = 96;

  private static final long LAZY_MS = 1_500;

  public final JobSpec spec;
  public final String key;
  public final long submittedWallMs;

  /** Dense index of the team. */
  public final int team;

  public boolean cancelled;
  private long version;
  private final PieceEntry[] pieces;
  private final List<Entry> entries;
  private final EndUnit end = new EndUnit();
  private final BitSet done = new BitSet();
  private final BitSet waiting = new BitSet();
  private int doneTotal;
  private int waitingTotal;
  private final Int2ObjectOpenHashMap<Placement> placed = new Int2ObjectOpenHashMap<>();
  private final Int2LongOpenHashMap doneAt = new Int2LongOpenHashMap();
  private boolean archived;
  private boolean begun;

  /** Zone of the first placement, for jobs whose tasks stay together. */
  public int zone = -1;

  /** Not placed before this time (steady), after failing everywhere. */
  public long notBeforeMs;

  public int failures;
  public final java.util.Set<String> failedOn = new java.util.HashSet<>();

  public Job(JobRecord.Live record, long version, int team) {
    this.spec = record.spec();
    this.key = JobRecord.LIVE + spec.uid();
    this.submittedWallMs = record.submittedWallMs();
    this.cancelled = record.cancelled();
    this.version = version;
    this.team = team;
    this.pieces = new PieceEntry[(spec.tasks() + PIECE - 1) / PIECE];
    for (int i = 0; i < pieces.length; i++) {
      pieces[i] = new PieceEntry(i);
    }
    this.entries = List.of(pieces);
    waiting.set(0, spec.tasks());
    waitingTotal = spec.tasks();
  }

  private void setWaiting(int task, boolean is) {
    if (waiting.get(task) != is) {
      waiting.set(task, is);
      waitingTotal += is ? 1 : -1;
    }
  }

  private void setDone(int task) {
    if (!done.get(task)) {
      done.set(task);
      doneTotal++;
    }
    setWaiting(task, false);
  }

  static String pieceId(String uid, int index) {
    return uid + "/" + index;
  }

  /** Takes over what the records say; placements come back for the machines to confirm. */
  List<Placement> restore(int index, JobRecord.Piece record, long nowMs) {
    List<Placement> all = new ArrayList<>();
    PieceEntry p = pieces[index];
    p.nextAttempt = record.nextAttempt();
    if (record.done() != null) {
      BitSet d = BitSet.valueOf(record.done());
      for (int i = d.nextSetBit(0); i >= 0; i = d.nextSetBit(i + 1)) {
        setDone(index * PIECE + i);
      }
    }
    long[] at = record.placed() == null ? new long[0] : record.placed();
    for (int i = 0; i + JobRecord.Piece.RUN <= at.length; i += JobRecord.Piece.RUN) {
      String machine = record.machines().get((int) at[i + 3]);
      for (int k = 0; k < at[i + 1]; k++) {
        int task = index * PIECE + (int) at[i] + k;
        Placement pl = new Placement(this, task, at[i + 2], machine, 0, true, nowMs);
        placed.put(task, pl);
        setWaiting(task, false);
        all.add(pl);
      }
    }
    return all;
  }

  /** What the owner keeps of its tasks, in pages. */
  public List<Entry> entries() {
    return entries;
  }

  public int waitingCount() {
    return cancelled ? 0 : waitingTotal;
  }

  public int doneCount() {
    return doneTotal;
  }

  public Collection<Placement> placements() {
    return placed.values();
  }

  public Placement placement(int task) {
    return placed.get(task);
  }

  public boolean isDone(int task) {
    return done.get(task);
  }

  public boolean allDone() {
    return doneTotal == spec.tasks();
  }

  /** Nothing of it is left to do or to prove gone. */
  public boolean over() {
    return allDone() || cancelled && placed.isEmpty();
  }

  public boolean archived() {
    return archived;
  }

  public int nextWaiting() {
    return waiting.nextSetBit(0);
  }

  /** One attempt number serves all tasks of a piece that a round places: records stay short. */
  public Placement place(int task, String machine, long nowMs, long round) {
    PieceEntry p = pieces[task / PIECE];
    if (p.lastRound != round) {
      p.lastRound = round;
      p.nextAttempt++;
    }
    p.touched(nowMs, true);
    Placement pl = new Placement(this, task, p.nextAttempt, machine, p.changes, false, nowMs);
    placed.put(task, pl);
    setWaiting(task, false);
    begun = true;
    return pl;
  }

  /** Its start may go out: the record says so. */
  public boolean startable(Placement p) {
    return !p.inherited
        && !cancelled
        && !p.stopping()
        && pieces[p.task / PIECE].written >= p.version;
  }

  /** The attempt is proved gone, without having completed. */
  public void gone(Placement p, long nowMs) {
    if (placed.get(p.task) == p) {
      placed.remove(p.task);
      if (!done.get(p.task)) {
        setWaiting(p.task, true);
      }
      pieces[p.task / PIECE].touched(nowMs, false);
    }
  }

  public void complete(int task, long nowMs) {
    if (!done.get(task)) {
      setDone(task);
      pieces[task / PIECE].touched(nowMs, false);
      doneAt.put(task, pieces[task / PIECE].changes);
    }
  }

  /** The record says that this task is done, so its exit need not be kept on the machine. */
  public boolean doneRecorded(int task) {
    return archived || done.get(task) && pieces[task / PIECE].written >= doneAt.get(task);
  }

  /** The move to its final record. */
  public Unit end() {
    return end;
  }

  /** Begun: some task has been placed, or is done. */
  public boolean begun() {
    return begun || !placed.isEmpty() || doneTotal > 0;
  }

  /** A change of the live record by anybody: a cancellation, or our own write. */
  public void changed(JobRecord.Live record, long version) {
    if (version > this.version) {
      this.version = version;
      if (record.cancelled() && !cancelled) {
        // Here, whoever brings the news: a write of ours that fails on it may be the first.
        cancelled = true;
        placed.values().forEach(p -> p.stop(0));
      }
    }
  }

  private JobRecord.Piece snapshot(int index) {
    int from = index * PIECE;
    int to = Math.min(spec.tasks(), from + PIECE);
    Object2IntOpenHashMap<String> names = new Object2IntOpenHashMap<>();
    List<String> machines = new ArrayList<>();
    LongArrayList runs = new LongArrayList();
    Placement last = null;
    for (int t = from; t < to; t++) {
      Placement p = done.get(t) ? null : placed.get(t);
      if (p != null
          && last != null
          && last.attempt == p.attempt
          && last.machine.equals(p.machine)) {
        int count = runs.size() - JobRecord.Piece.RUN + 1;
        runs.set(count, runs.getLong(count) + 1);
      } else if (p != null) {
        if (!names.containsKey(p.machine)) {
          names.put(p.machine, machines.size());
          machines.add(p.machine);
        }
        runs.add(t - from);
        runs.add(1);
        runs.add(p.attempt);
        runs.add(names.getInt(p.machine));
      }
      last = p;
    }
    return new JobRecord.Piece(
        pieces[index].nextAttempt,
        done.get(from, to).toByteArray(),
        machines.isEmpty() ? null : machines,
        runs.isEmpty() ? null : runs.toLongArray());
  }

  /** Some of the tasks, as kept in a page. */
  private final class PieceEntry implements Entry {
    private final int index;
    private long nextAttempt;
    private long lastRound = -1;
    private long changes;
    private long written;
    private long inFlight = -1;
    private long dirtySinceMs;
    private boolean hurry;

    PieceEntry(int index) {
      this.index = index;
    }

    void touched(long nowMs, boolean soon) {
      if (changes == written) {
        dirtySinceMs = nowMs;
      }
      changes++;
      hurry |= soon;
    }

    @Override
    public String id() {
      return pieceId(spec.uid(), index);
    }

    @Override
    public boolean dirty() {
      return inFlight < 0 && changes > written && !Job.this.over() && !archived;
    }

    @Override
    public boolean urgent(long nowMs) {
      return hurry || nowMs - dirtySinceMs >= LAZY_MS;
    }

    @Override
    public boolean over() {
      return archived;
    }

    @Override
    public Object snapshot() {
      return Job.this.snapshot(index);
    }

    @Override
    public void begin(Draft draft) {
      inFlight = changes;
      hurry = false;
      // Cancelled or ended meanwhile: then nothing of it may start.
      draft.when(key, version);
    }

    @Override
    public void written() {
      written = inFlight;
      inFlight = -1;
    }

    @Override
    public void unwritten() {
      inFlight = -1;
      hurry = true;
    }

    @Override
    public boolean dependsOn(String k) {
      return k.equals(key);
    }

    @Override
    public void reread(Stored now) {
      rereadMain(now);
    }
  }

  private void rereadMain(Stored now) {
    if (now == null) {
      archived = true;
      return;
    }
    JobRecord.Live record = Json.read(now.value(), JobRecord.Live.class);
    if (record != null) {
      changed(record, now.version());
    }
  }

  /** Moves the job to its final record, once: the live key must be as this owner knows it. */
  private final class EndUnit implements Unit {
    private boolean inFlight;

    @Override
    public boolean dirty() {
      return !inFlight && !archived && over();
    }

    @Override
    public boolean urgent(long nowMs) {
      return true;
    }

    @Override
    public int cost() {
      return 2;
    }

    @Override
    public void fill(Draft draft) {
      inFlight = true;
      draft.when(key, version);
      draft.delete(key);
      draft.put(
          JobRecord.ENDED + spec.uid(),
          new JobRecord.Ended(cancelled ? Statuses.CANCELLED : Statuses.DONE, doneCount()));
    }

    @Override
    public void written(long revision) {
      inFlight = false;
      archived = true;
    }

    @Override
    public void unwritten() {
      inFlight = false;
    }

    @Override
    public boolean owns(String k) {
      return k.equals(key);
    }

    @Override
    public void reread(String k, Stored now) {
      rereadMain(now);
    }
  }
}
