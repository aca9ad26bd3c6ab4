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
  static final int PIECE = 8_192;

  private static final long LAZY_MS = 1_500;
  private static final int ROUND_BITS = 32;

  private final JobSpec spec;
  private final String key;
  private final long submittedWallMs;
  private final int team;
  private boolean cancelled;
  private long version;
  private final PieceEntry[] pieces;
  private final List<PageEntry> entries;
  private final EndUnit end = new EndUnit();
  private final BitSet done = new BitSet();
  private final BitSet waiting = new BitSet();
  private int doneTotal;
  private int waitingTotal;
  private final Int2ObjectOpenHashMap<Placement> placed = new Int2ObjectOpenHashMap<>();

  /** Done, and not recorded as done yet: which state of the piece will say it. */
  private final Int2LongOpenHashMap doneAt = new Int2LongOpenHashMap();

  /** Placements of such tasks. */
  private final Int2ObjectOpenHashMap<Placement> ended = new Int2ObjectOpenHashMap<>();

  private final List<PlacementBatch> fresh = new ArrayList<>();
  private PlacementBatch current;
  private long currentRound = -1;
  private int batches;
  private boolean archived;
  private boolean begun;

  private long notBeforeMs;

  /** When a task of it was placed or completed last, or this owner took the job in (steady). */
  private long progressMs;

  private int backOffs;
  private final Set<String> failedMachines = new HashSet<>();

  public Job(JobRecord.Live record, long version, int team, long nowMs) {
    this.progressMs = nowMs;
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

  /** What its user submitted. */
  public JobSpec spec() {
    return spec;
  }

  /** Key of its live record in the state service. */
  public String key() {
    return key;
  }

  /** When it was submitted (wall clock, ms). */
  public long submittedWallMs() {
    return submittedWallMs;
  }

  /** Dense index of its team. */
  public int team() {
    return team;
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
  public int backOffs() {
    return backOffs;
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
    backOffs++;
    notBeforeMs = untilMs;
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

  /** Takes over what the record says of the ends of tasks. */
  void restore(PageEntry entry, JobRecord.Piece record) {
    int from = ((PieceEntry) entry).index * PIECE;
    BitSet d = BitSet.valueOf(record.done() == null ? new byte[0] : record.done());
    for (int i = d.nextSetBit(0); i >= 0; i = d.nextSetBit(i + 1)) {
      if (from + i < spec.tasks()) {
        setDone(from + i);
      }
    }
  }

  /**
   * Takes over placements, for the machines to confirm. Of a task that was placed several times the
   * last attempt counts: the others were proved gone before it.
   */
  PageEntry restore(String id, JobRecord.PlacementBatch record, long nowMs) {
    PlacementBatch batch = new PlacementBatch(this, id, record.attempt());
    batch.restored();
    batches = Math.max(batches, number(id) + 1);
    for (int run = 0; run < record.runs(); run++) {
      String machine = record.machine(run);
      for (int k = 0; k < record.count(run); k++) {
        int task = record.first(run) + k;
        Placement before = placed.get(task);
        if (done.get(task) || (before != null && before.attempt() >= record.attempt())) {
          continue;
        }
        if (before != null) {
          before.batch.close();
        }
        Placement p = new Placement(this, task, record.attempt(), machine, batch, true, nowMs);
        batch.add(p);
        placed.put(task, p);
        setWaiting(task, false);
      }
    }
    return batch;
  }

  static final char BATCH_MARK = ':';

  private int number(String id) {
    try {
      return Integer.parseInt(id.substring(id.lastIndexOf(BATCH_MARK) + 1));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /** What the owner keeps of the ends of its tasks, in pages. */
  List<PageEntry> entries() {
    return entries;
  }

  /** What was placed since the last call, to be written. */
  List<PlacementBatch> fresh() {
    List<PlacementBatch> all = List.copyOf(fresh);
    fresh.clear();
    return all;
  }

  long version() {
    return version;
  }

  /** A successor must find this placement: it is not proved gone, or its end is not recorded. */
  boolean needsRecord(Placement p) {
    return placed.get(p.task()) == p || ended.get(p.task()) == p;
  }

  public int waitingCount() {
    return cancelled ? 0 : waitingTotal;
  }

  /** How long it has been without a task placed or completed. */
  public long sinceProgressMs(long nowMs) {
    return nowMs - progressMs;
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
    return allDone() || (cancelled && placed.isEmpty());
  }

  public boolean archived() {
    return archived;
  }

  public int nextWaiting() {
    return waiting.nextSetBit(0);
  }

  /**
   * Attempts only grow: by the token from owner to owner, and by the round within an owner's time.
   * No two attempts of a task are placed in one round.
   */
  public Placement place(int task, String machine, long nowMs, long token, long round) {
    if (current == null || currentRound != round || current.full()) {
      long attempt = (token << ROUND_BITS) + round;
      current = new PlacementBatch(this, spec.uid() + BATCH_MARK + batches++, attempt);
      currentRound = round;
      fresh.add(current);
    }
    Placement p = new Placement(this, task, current.attempt(), machine, current, false, nowMs);
    current.add(p);
    placed.put(task, p);
    setWaiting(task, false);
    progressMs = nowMs;
    begun = true;
    return p;
  }

  /** Its start may go out: the record says so. */
  public boolean startable(Placement p) {
    return !p.inherited() && !cancelled && !p.stopping() && p.batch.recorded();
  }

  /** The attempt is proved gone; unless the task is done it waits again. */
  public void gone(Placement p) {
    if (!placed.remove(p.task(), p)) {
      return;
    }
    if (!done.get(p.task())) {
      setWaiting(p.task(), true);
      p.batch.close();
    } else if (doneRecorded(p.task())) {
      p.batch.close();
    } else {
      ended.put(p.task(), p);
    }
  }

  public void complete(int task, long nowMs) {
    if (!done.get(task)) {
      setDone(task);
      progressMs = nowMs;
      PieceEntry piece = pieces[task / PIECE];
      piece.touched(nowMs);
      doneAt.put(task, piece.changes);
    }
  }

  /** The record says that this task is done, so its exit need not be kept on the machine. */
  public boolean doneRecorded(int task) {
    return archived || (done.get(task) && !doneAt.containsKey(task));
  }

  /** The move to its final record. */
  public PendingWrite end() {
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
      if (record.cancelled()) {
        // Here, whoever brings the news: a write of ours that fails on it may be the first.
        cancel();
      }
    }
  }

  /** It is finally cancelled, though our copy of its record may not say so yet. */
  public void cancel() {
    cancelled = true;
    placed.values().forEach(p -> p.stop(0));
  }

  /** Which of some neighbouring tasks are done, as kept in a page. */
  private final class PieceEntry implements PageEntry {
    private final int index;
    private long changes;
    private long written;
    private long inFlight = -1;
    private long dirtySinceMs;
    private boolean hurry;

    PieceEntry(int index) {
      this.index = index;
    }

    void touched(long nowMs) {
      if (changes == written) {
        dirtySinceMs = nowMs;
      }
      changes++;
    }

    @Override
    public String id() {
      return spec.uid() + "/" + index;
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
    public boolean obsolete() {
      return archived;
    }

    @Override
    public Object snapshot() {
      int from = index * PIECE;
      return new JobRecord.Piece(
          done.get(from, Math.min(spec.tasks(), from + PIECE)).toByteArray());
    }

    @Override
    public void beginWrite(TransactionBuilder draft) {
      inFlight = changes;
      hurry = false;
    }

    @Override
    public void onApplied() {
      written = inFlight;
      inFlight = -1;
      doneAt
          .int2LongEntrySet()
          .removeIf(
              e -> {
                int task = e.getIntKey();
                boolean recorded = task / PIECE == index && e.getLongValue() <= written;
                if (recorded) {
                  Placement p = ended.remove(task);
                  if (p != null) {
                    p.batch.close();
                  }
                }
                return recorded;
              });
    }

    @Override
    public void onNotApplied() {
      inFlight = -1;
      hurry = true;
    }

    @Override
    public boolean dependsOn(String k) {
      return false;
    }

    @Override
    public void onConflict(VersionedValue now) {
      // depends on nothing
    }
  }

  void reread(VersionedValue now) {
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
  private final class EndUnit implements PendingWrite {
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
    public int writeCount() {
      return 2;
    }

    @Override
    public void addTo(TransactionBuilder draft) {
      inFlight = true;
      draft.ifVersion(key, version);
      draft.delete(key);
      draft.put(
          JobRecord.ENDED + spec.uid(),
          new JobRecord.Ended(cancelled ? Statuses.CANCELLED : Statuses.DONE, doneCount()));
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
    public boolean dependsOn(String k) {
      return k.equals(key);
    }

    @Override
    public void onConflict(String k, VersionedValue now) {
      Job.this.reread(now);
    }
  }
}
