package dev.windbend.machine;

import dev.windbend.job.Placement;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** A machine of the part, as its owner knows it. */
public final class Machine {
  public final String name;
  public final MachineType type;
  public final int zone;
  public final boolean spot;
  final Hire hire;

  /** When it was asked for (steady clock); for inherited ones, when it was taken over. */
  public final long rentedMs;

  /** Newest report by (shift, tally), and when it came. */
  public long shift = -1;

  public long tally = -1;
  public long seenMs = -1;

  /** Its newest report carried our token: what it lists is all there is. */
  public boolean confirmed;

  /** When the cloud takes it away (steady clock), -1: no notice. */
  public long recallMs = -1;

  /** No new tasks. */
  public boolean draining;

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

  Machine(
      String name, MachineType type, int zone, boolean spot, Hire hire, long rentedMs, long nowMs) {
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.hire = hire;
    this.rentedMs = rentedMs;
    this.idleSinceMs = nowMs;
  }

  public boolean newer(long s, long t) {
    return s > shift || s == shift && t > tally;
  }

  public boolean usable(long nowMs) {
    return confirmed && !draining && !returning && !gone && nowMs >= fullUntilMs;
  }

  public void add(Placement p) {
    tasks.put(p.taskName(), p);
    idleSinceMs = -1;
  }

  public void remove(Placement p, long nowMs) {
    tasks.remove(p.taskName(), p);
    if (tasks.isEmpty() && idleSinceMs < 0) {
      idleSinceMs = nowMs;
    }
  }
}
