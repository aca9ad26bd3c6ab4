package dev.windbend.job;

import dev.windbend.daemon.io.Json;
import dev.windbend.store.Draft;
import dev.windbend.store.Stored;
import dev.windbend.store.Unit;
import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;

/** A live job as its part's owner sees it, with the records that keep it. */
public final class Job {
  /** Tasks per record: even with every one placed elsewhere, a piece stays below 4 KiB. */
  static final int PIECE = 96;

  private static final int INLINE_SPEC = 900;
  private static final long LAZY_MS = 1_500;

  public final JobSpec spec;
  public final String key;
  public final long submittedWallMs;

  /** Dense index of the team. */
  public final int team;

  public boolean cancelled;
  private long version;
  private final boolean inline;
  private final PieceUnit[] pieces;
  private final EndUnit end = new EndUnit();
  private final BitSet done = new BitSet();
  private final BitSet waiting = new BitSet();
  private final Int2ObjectOpenHashMap<Placement> placed = new Int2ObjectOpenHashMap<>();
  private final Int2LongOpenHashMap doneAt = new Int2LongOpenHashMap();
  private boolean archived;

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
    this.inline = spec.tasks() <= PIECE && Json.write(spec).length <= INLINE_SPEC;
    this.pieces = new PieceUnit[(spec.tasks() + PIECE - 1) / PIECE];
    for (int i = 0; i < pieces.length; i++) {
      pieces[i] = new PieceUnit(i);
    }
    waiting.set(0, spec.tasks());
  }

  public static String pieceKey(String uid, int index) {
    return JobRecord.PIECES + uid + "/" + index;
  }

  /** Takes over what the records say; placements come back for the machines to confirm. */
  public List<Placement> restore(int index, JobRecord.Piece record, long version, long nowMs) {
    List<Placement> found = new ArrayList<>();
    PieceUnit p = pieces[index];
    p.version = version;
    if (record == null) {
      return found;
    }
    p.nextAttempt = record.nextAttempt();
    if (record.done() != null) {
      BitSet d = BitSet.valueOf(record.done());
      for (int i = d.nextSetBit(0); i >= 0; i = d.nextSetBit(i + 1)) {
        done.set(index * PIECE + i);
        waiting.clear(index * PIECE + i);
      }
    }
    long[] at = record.placed() == null ? new long[0] : record.placed();
    for (int i = 0; i + 2 < at.length; i += 3) {
      int task = index * PIECE + (int) at[i];
      String machine = record.machines().get((int) at[i + 2]);
      Placement pl = new Placement(this, task, at[i + 1], machine, 0, true, nowMs);
      placed.put(task, pl);
      waiting.clear(task);
      found.add(pl);
    }
    return found;
  }

  public boolean inline() {
    return inline;
  }

  public int pieceCount() {
    return pieces.length;
  }

  public int waitingCount() {
    return cancelled ? 0 : waiting.cardinality();
  }

  public int doneCount() {
    return done.cardinality();
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
    return done.cardinality() == spec.tasks();
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

  public Placement place(int task, String machine, long nowMs) {
    PieceUnit p = pieces[task / PIECE];
    p.nextAttempt++;
    p.touched(nowMs, true);
    Placement pl = new Placement(this, task, p.nextAttempt, machine, p.changes, false, nowMs);
    placed.put(task, pl);
    waiting.clear(task);
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
        waiting.set(p.task);
      }
      pieces[p.task / PIECE].touched(nowMs, false);
    }
  }

  public void complete(int task, long nowMs) {
    if (!done.get(task)) {
      done.set(task);
      waiting.clear(task);
      pieces[task / PIECE].touched(nowMs, false);
      doneAt.put(task, pieces[task / PIECE].changes);
    }
  }

  /** The record says that this task is done, so its exit need not be kept on the machine. */
  public boolean doneRecorded(int task) {
    return archived || done.get(task) && pieces[task / PIECE].written >= doneAt.get(task);
  }

  /** What the owner must write for this job: its pieces, then its end. */
  public List<Unit> units() {
    if (over()) {
      return List.of(end);
    }
    List<Unit> all = new ArrayList<>();
    for (PieceUnit p : pieces) {
      if (p.dirty()) {
        all.add(p);
      }
    }
    return all;
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
    List<Placement> here = new ArrayList<>();
    for (int t = from; t < to; t++) {
      Placement p = placed.get(t);
      if (p != null && !done.get(t)) {
        here.add(p);
      }
    }
    long[] at = new long[here.size() * 3];
    int i = 0;
    for (Placement p : here) {
      if (!names.containsKey(p.machine)) {
        names.put(p.machine, machines.size());
        machines.add(p.machine);
      }
      at[i++] = p.task - from;
      at[i++] = p.attempt;
      at[i++] = names.getInt(p.machine);
    }
    return new JobRecord.Piece(
        pieces[index].nextAttempt,
        done.get(from, to).toByteArray(),
        machines.isEmpty() ? null : machines,
        at.length == 0 ? null : at);
  }

  private final class PieceUnit implements Unit {
    private final int index;
    private final String pieceKey;
    private long version;
    private long nextAttempt;
    private long changes;
    private long written;
    private long inFlight = -1;
    private long dirtySinceMs;
    private boolean hurry;

    PieceUnit(int index) {
      this.index = index;
      this.pieceKey = pieceKey(spec.uid(), index);
    }

    void touched(long nowMs, boolean soon) {
      if (changes == written) {
        dirtySinceMs = nowMs;
      }
      changes++;
      hurry |= soon;
    }

    @Override
    public boolean dirty() {
      return inFlight < 0 && changes > written && !over() && !archived;
    }

    @Override
    public boolean urgent(long nowMs) {
      return hurry || nowMs - dirtySinceMs >= LAZY_MS;
    }

    @Override
    public int cost() {
      return 1;
    }

    @Override
    public void fill(Draft draft) {
      inFlight = changes;
      hurry = false;
      draft.when(key, Job.this.version);
      JobRecord.Piece now = snapshot(index);
      if (inline) {
        draft.put(key, new JobRecord.Live(spec, submittedWallMs, cancelled, now));
      } else {
        // Without this a late write of an older state could land after a newer one.
        draft.when(pieceKey, version);
        draft.put(pieceKey, now);
      }
    }

    @Override
    public void written(long revision) {
      written = inFlight;
      inFlight = -1;
      if (inline) {
        Job.this.version = Math.max(Job.this.version, revision);
      } else {
        version = revision;
      }
    }

    @Override
    public void unwritten() {
      inFlight = -1;
      hurry = true;
    }

    @Override
    public boolean owns(String k) {
      return k.equals(key) || k.equals(pieceKey);
    }

    @Override
    public void reread(String k, Stored now) {
      if (k.equals(pieceKey)) {
        version = now == null ? 0 : now.version();
      } else {
        rereadMain(now);
      }
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
