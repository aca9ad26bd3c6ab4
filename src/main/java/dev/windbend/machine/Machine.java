package dev.windbend.machine;

import dev.windbend.job.Placement;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** A machine of the shard, as its owner knows it. */
public final class Machine {
  private static final double ROUNDING = 1e-6;

  public final String name;
  public final MachineType type;
  public final int zone;
  public final boolean spot;

  /** When it was asked for (steady clock); for inherited ones, when it was taken over. */
  public final long rentedMs;

  /** Newest report by (shift, tally), and when it came. */
  public long shift = -1;

  public long tally = -1;
  public long seenMs = -1;

  /** Where it takes direct commands, as its newest report says; null: not known. */
  public String address;

  /** Its newest report carried our token: what it lists is all there is. */
  public boolean confirmed;

  /** When the cloud takes it away (steady clock), -1: no notice. */
  public long recallMs = -1;

  /** No new tasks. */
  public boolean draining;

  /** Its zone is unreachable, or returning and not yet open for it: no new work. */
  public boolean zoneClosed;

  /** Being given back until the cloud confirms. */
  public boolean returning;

  public boolean gone;

  /** Images seen in use on it, by dense index. */
  public final IntOpenHashSet images = new IntOpenHashSet();

  /** Tasks counted as on it, by name. */
  public final Map<String, Placement> tasks = new LinkedHashMap<>();

  /** Jobs that failed on it with no success since. */
  public final Set<String> failedJobs = new HashSet<>();

  /** Idle since this time, -1: busy. */
  public long idleSinceMs;

  /** Start refused for lack of room: nothing new before this time. */
  public long fullUntilMs;

  /** Taken over from a former owner. */
  boolean inherited;

  /** A report of it waits for its answer, so it can be told something at once. */
  public boolean listening;

  /** We have answered it under our token. */
  public boolean answered;

  /** ReportHandler one after the other that show no effect of what we answered. */
  public int unheard;

  /** Goes to this shard once it is empty, -1: stays. */
  public int promisedTo = -1;

  /** Promised: tasks that are still on it from then on are stopped; -1: they may end first. */
  public long vacateByMs = -1;

  /** The record that names it. */
  final Rental hire;

  /** The record's write with its name is under way. */
  boolean listing;

  private boolean listed;

  /** On its way to another shard. */
  private boolean lent;

  private boolean used;

  /** The least that was free in this window of time, and in the one before. */
  private double leastFreeCores;

  private double leastFreeCoresBefore;

  Machine(String name, Rental hire, long rentedMs, long nowMs) {
    this.name = name;
    this.hire = hire;
    this.type = hire.type;
    this.zone = hire.zone;
    this.spot = hire.asked.spot();
    this.rentedMs = rentedMs;
    this.idleSinceMs = nowMs;
    this.leastFreeCores = type.cores();
    this.leastFreeCoresBefore = type.cores();
  }

  /** Whether it was taken over from a former owner of the shard. */
  public boolean inherited() {
    return inherited;
  }

  public String zoneName() {
    return hire.asked.zone();
  }

  /** Came from another shard. */
  public boolean received() {
    return hire.fence > 0;
  }

  public double freeCores() {
    double free = type.cores();
    for (Placement p : tasks.values()) {
      free -= p.job().spec().cores();
    }
    return free;
  }

  boolean hasRoomFor(double cores, double cards, double ram) {
    double freeCores = type.cores() + ROUNDING;
    double freeCards = type.cards() + ROUNDING;
    double freeRam = type.ram() + ROUNDING;
    for (Placement p : tasks.values()) {
      freeCores -= p.job().spec().cores();
      freeCards -= p.job().spec().cards();
      freeRam -= p.job().spec().ram();
    }
    return freeCores >= cores && freeCards >= cards && freeRam >= ram;
  }

  /** Begins a new window in which the least free room is noted. */
  public void beginWindow() {
    leastFreeCoresBefore = leastFreeCores;
    leastFreeCores = freeCores();
  }

  /** Cores that no task has used for a whole window at least. */
  public double steadilyFreeCores() {
    return Math.min(leastFreeCoresBefore, leastFreeCores);
  }

  /**
   * The fencing token for this machine: above the giver's, if it was given to this shard, and never
   * below the claim's.
   */
  public long token(long claim) {
    return Math.max(claim, hire.fence);
  }

  void listed() {
    listing = false;
    listed = true;
  }

  void lent() {
    lent = true;
  }

  /**
   * The machine may be used: the record says it is ours. Without that a successor would not find
   * it, take its tasks for gone and start them twice.
   */
  public boolean recorded() {
    return listed && !lent;
  }

  public boolean newer(long s, long t) {
    return s > shift || (s == shift && t > tally);
  }

  public boolean usable(long nowMs) {
    return recorded()
        && confirmed
        && !draining
        && !zoneClosed
        && !returning
        && !gone
        && nowMs >= fullUntilMs;
  }

  /**
   * May be given on while idle. Not if this shard was given it and had no use for it: shards that
   * all lack machines of another kind would pass it round for ever, and the cloud could not rent it
   * to them as what they need.
   */
  public boolean mayBeLent() {
    return used || hire.fence == 0;
  }

  public void add(Placement p) {
    used = true;
    tasks.put(p.taskName(), p);
    leastFreeCores = Math.min(leastFreeCores, freeCores());
    idleSinceMs = -1;
  }

  public void remove(Placement p, long nowMs) {
    tasks.remove(p.taskName(), p);
    if (tasks.isEmpty() && idleSinceMs < 0) {
      idleSinceMs = nowMs;
    }
  }
}
