package dev.windbend.plan;

import dev.windbend.plan.Snapshot.InstanceOffer;
import dev.windbend.plan.Snapshot.MachineCapacity;
import dev.windbend.plan.Snapshot.Running;
import dev.windbend.plan.Snapshot.Size;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.ArrayList;
import java.util.List;

/** A machine's free room over time, and what of it is spoken for. */
final class MachineReservations {
  /** A change of what is free. */
  private record Step(long atMs, Size size) {}

  final MachineCapacity room;
  final int index;
  final int type;
  final int zone;
  final boolean spot;
  final double fetchGbPerS;
  final IntOpenHashSet stopped = new IntOpenHashSet();
  private final long nowMs;

  /** In order of time. */
  private final List<Step> steps = new ArrayList<>();

  /** Free at this moment. */
  Size now;

  boolean taken;

  /** Something is held for later, so room that is free now may not stay so. */
  private boolean held;

  MachineReservations(MachineCapacity room, int index, long nowMs) {
    this.room = room;
    this.index = index;
    this.type = room.type();
    this.zone = room.zone();
    this.spot = room.spot();
    this.fetchGbPerS = room.fetchGbPerS();
    this.nowMs = nowMs;
    if (room.up()) {
      this.now = room.free();
      for (Running r : room.running()) {
        step(endMs(r), r.size());
      }
    } else {
      this.now = Size.NONE;
      step(Math.max(room.readyMs(), nowMs + 1), room.free());
    }
  }

  MachineReservations(InstanceOffer o, long nowMs) {
    this.room = null;
    this.index = -1;
    this.type = o.type();
    this.zone = o.zone();
    this.spot = o.spot();
    this.fetchGbPerS = o.fetchGbPerS();
    this.nowMs = nowMs;
    this.now = Size.NONE;
    step(nowMs + o.bootMs(), o.size());
  }

  private long endMs(Running r) {
    return Math.max(r.endMs(), nowMs + 1);
  }

  private void step(long atMs, Size size) {
    int i = steps.size();
    while (i > 0 && steps.get(i - 1).atMs() > atMs) {
      i--;
    }
    steps.add(i, new Step(atMs, size));
  }

  boolean fitsNow(long runMs, Size need) {
    return now.holds(need) && (!held || staysFree(0, now, nowMs + runMs, need));
  }

  private boolean staysFree(int from, Size at, long untilMs, Size need) {
    Size free = at;
    for (int i = from; i < steps.size() && steps.get(i).atMs() < untilMs; i++) {
      free = free.plus(steps.get(i).size());
      boolean last = i + 1 == steps.size() || steps.get(i + 1).atMs() > steps.get(i).atMs();
      if (last && !free.holds(need)) {
        return false;
      }
    }
    return true;
  }

  /** What is free all through the given time from now on. */
  Size least(long runMs) {
    Size free = now;
    Size least = now;
    for (int i = 0; held && i < steps.size() && steps.get(i).atMs() < nowMs + runMs; i++) {
      free = free.plus(steps.get(i).size());
      if (i + 1 == steps.size() || steps.get(i + 1).atMs() > steps.get(i).atMs()) {
        least = least.least(free);
      }
    }
    return least;
  }

  /** When so much gets free and stays so for the given time. */
  long firstFit(long runMs, Size need) {
    Size free = now;
    int i = 0;
    while (i < steps.size()) {
      long at = steps.get(i).atMs();
      boolean more = false;
      while (i < steps.size() && steps.get(i).atMs() == at) {
        Size s = steps.get(i).size();
        more |= s.cores() > 0;
        free = free.plus(s);
        i++;
      }
      if (more && free.holds(need) && (!held || staysFree(i, free, at + runMs, need))) {
        return at;
      }
    }
    return Long.MAX_VALUE;
  }

  void take(long atMs, long runMs, Size need) {
    taken = true;
    if (atMs <= nowMs) {
      now = now.minus(need);
    } else {
      held = true;
      step(atMs, Size.NONE.minus(need));
    }
    step(atMs + Math.max(1, runMs), need);
  }

  /** The task goes now instead of later. */
  void stop(int i) {
    Running r = room.running().get(i);
    stopped.add(i);
    steps.remove(new Step(endMs(r), r.size()));
    now = now.plus(r.size());
  }
}
