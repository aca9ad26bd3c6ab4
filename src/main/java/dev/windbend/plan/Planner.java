package dev.windbend.plan;

import dev.windbend.plan.Snapshot.Offer;
import dev.windbend.plan.Snapshot.Room;
import dev.windbend.plan.Snapshot.Running;
import dev.windbend.plan.Snapshot.Size;
import dev.windbend.plan.Snapshot.Work;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * One round of the design's loop (paper, Algorithm 1), as a pure function: idle paid room first;
 * wait while the slack allows; queue behind a machine that is free soon enough, which is held; else
 * extend a paid block or rent, whichever costs less.
 */
public final class Planner {
  private final Snapshot s;
  private final List<Line> lines = new ArrayList<>();
  private final int[] rented;
  private final double[] usedCores;
  private final double[] usedCards;
  private final List<Wanted.Place> places = new ArrayList<>();
  private final List<Wanted.Stop> stops = new ArrayList<>();
  private int rentals;
  private double shortCores;

  private Planner(Snapshot s) {
    this.s = s;
    this.rented = new int[s.offers().size()];
    this.usedCores = s.teams().stream().mapToDouble(Snapshot.Team::usedCores).toArray();
    this.usedCards = s.teams().stream().mapToDouble(Snapshot.Team::usedCards).toArray();
    for (int i = 0; i < s.rooms().size(); i++) {
      lines.add(new Line(s.rooms().get(i), i, s.nowMs()));
    }
  }

  public static Wanted plan(Snapshot snapshot) {
    return new Planner(snapshot).run();
  }

  private Wanted run() {
    List<Integer> order = new ArrayList<>();
    for (int i = 0; i < s.works().size(); i++) {
      if (s.works().get(i).waiting() > 0 && s.works().get(i).notBeforeMs() <= s.nowMs()) {
        order.add(i);
      }
    }
    order.sort(
        Comparator.<Integer>comparingInt(i -> s.works().get(i).rank())
            .thenComparing(i -> s.works().get(i).hopeless())
            .thenComparingDouble(i -> left(s.works().get(i))));
    for (int i : order) {
      serve(i, s.works().get(i));
    }
    List<Wanted.Rental> rentals = new ArrayList<>();
    for (int i = 0; i < rented.length; i++) {
      if (rented[i] > 0) {
        rentals.add(new Wanted.Rental(i, rented[i]));
      }
    }
    List<Integer> spare = new ArrayList<>();
    List<Integer> back = new ArrayList<>();
    for (Line l : lines) {
      if (l.room != null && l.room.up() && l.room.idle() && !l.taken) {
        spare.add(l.index);
        if (l.room.paidUntilMs() <= s.nowMs()) {
          back.add(l.index);
        }
      }
    }
    return new Wanted(stops, places, rentals, spare, back, shortCores);
  }

  private static double left(Work w) {
    return w.waiting() * w.size().cores() * w.estimateMs();
  }

  private void serve(int index, Work w) {
    int[] zones = w.placedPerZone().clone();
    int together = w.together() ? firstUsed(zones) : -1;
    for (int k = 0; k < w.waiting(); k++) {
      if (overLimit(w)) {
        return;
      }
      Line now = idleRoom(w, zones, together);
      if (now == null) {
        now = makeRoom(w, zones, together);
      }
      if (now != null) {
        take(now, s.nowMs(), w);
        zones[now.zone]++;
        together = w.together() ? now.zone : -1;
        places.add(new Wanted.Place(index, now.index));
        continue;
      }
      long boot = bootMs(w);
      long slack = w.dueMs() - s.nowMs() - w.estimateMs() - boot;
      if (slack > w.estimateMs() + s.periodMs()) {
        return; // can wait, and so can the rest of the job
      }
      Line line = soonFree(w, zones, together, s.nowMs() + boot);
      if (line == null) {
        line = rent(w, zones, together);
      }
      if (line == null) {
        shortCores += (w.waiting() - k) * w.size().cores();
        return;
      }
      if (line.room == null || !line.room.up()) {
        shortCores += w.size().cores();
      }
      zones[line.zone]++;
      together = w.together() ? line.zone : -1;
    }
  }

  private static int firstUsed(int[] zones) {
    for (int z = 0; z < zones.length; z++) {
      if (zones[z] > 0) {
        return z;
      }
    }
    return -1;
  }

  private boolean overLimit(Work w) {
    Snapshot.Team t = s.teams().get(w.team());
    return usedCores[w.team()] + w.size().cores() > t.mostCores() + 1e-6
        || usedCards[w.team()] + w.size().cards() > t.mostCards() + 1e-6;
  }

  /** The room is spoken for from then on, and counts for the team's limit at once. */
  private void take(Line l, long atMs, Work w) {
    l.take(atMs, w.estimateMs() + fetchMs(w, l), w.size());
    usedCores[w.team()] += w.size().cores();
    usedCards[w.team()] += w.size().cards();
  }

  private static boolean allowed(
      Work w, int type, int zone, boolean spot, int[] zones, int together) {
    return (w.types() == null || w.types()[type])
        && (w.zone() < 0 || w.zone() == zone)
        && (together < 0 || together == zone)
        && (w.spot() || !spot)
        && (!w.spread() || zones[zone] + 1 <= (w.tasks() + 1) / 2);
  }

  private static boolean allowed(Work w, Line l, int[] zones, int together) {
    return allowed(w, l.type, l.zone, l.spot, zones, together)
        && (l.room == null || !w.avoidRooms().contains(l.index));
  }

  private static long fetchMs(Work w, Line l) {
    return l.room != null && l.room.images().contains(w.image()) || l.fetchGbPerS <= 0
        ? 0
        : (long) (1000 * w.imageGb() / l.fetchGbPerS);
  }

  /** Idle room on a machine that is up: image at hand first, then the tightest fit. */
  private Line idleRoom(Work w, int[] zones, int together) {
    Line best = null;
    double bestScore = 0;
    for (Line l : lines) {
      if (l.room == null || !l.room.up() || !allowed(w, l, zones, together)) {
        continue;
      }
      long fetch = fetchMs(w, l);
      if (!l.fits(s.nowMs(), w.estimateMs() + fetch, w.size()) || tooDear(w, l)) {
        continue;
      }
      double score = l.now.cores() + fetch / 10.0;
      if (best == null || score < bestScore) {
        best = l;
        bestScore = score;
      }
    }
    return best;
  }

  /**
   * Running past the paid block extends it. That must not cost more than a new machine would,
   * unless a new one would come too late.
   */
  private boolean tooDear(Work w, Line l) {
    long past = s.nowMs() + w.estimateMs() - l.room.paidUntilMs();
    if (past <= 0) {
      return false;
    }
    double extend = l.room.pricePerH() * past;
    for (Offer o : s.offers()) {
      long boot = o.bootMs();
      if ((w.types() == null || w.types()[o.type()])
          && (w.zone() < 0 || w.zone() == o.zone())
          && (w.spot() || !o.spot())
          && o.size().holds(w.size())
          && s.nowMs() + boot + w.estimateMs() <= w.dueMs()
          && o.pricePerH() * (w.estimateMs() + boot) < extend) {
        return true;
      }
    }
    return false;
  }

  private long bootMs(Work w) {
    long boot = 0;
    for (Offer o : s.offers()) {
      if (w.types() == null || w.types()[o.type()]) {
        boot = Math.max(boot, o.bootMs());
      }
    }
    return boot;
  }

  /**
   * Stops work of lower priority for this work, where that loses least. Not if room comes soon by
   * itself, and not if more would be lost than gained.
   */
  private Line makeRoom(Work w, int[] zones, int together) {
    Line best = null;
    List<Integer> bestVictims = null;
    double least = w.size().cores() * w.estimateMs();
    for (Line l : lines) {
      if (l.room == null || !l.room.up() || !allowed(w, l, zones, together)) {
        continue;
      }
      if (l.firstFit(s.nowMs(), w.estimateMs(), w.size()) <= s.nowMs() + s.patienceMs()) {
        return null;
      }
      List<Integer> victims = new ArrayList<>();
      double lost = victims(w, l, victims) + fetchMs(w, l) * w.size().cores();
      if (lost < least) {
        least = lost;
        best = l;
        bestVictims = victims;
      }
    }
    if (best != null) {
      for (int v : bestVictims) {
        // It counts for its team's limit until it is proved gone.
        best.stop(v, s.nowMs());
        stops.add(new Wanted.Stop(best.index, v));
      }
    }
    return best;
  }

  /** Picks the cheapest few to stop; says what that loses, infinite if it frees too little. */
  private double victims(Work w, Line l, List<Integer> victims) {
    List<Running> running = l.room.running();
    List<Integer> may = new ArrayList<>();
    for (int i = 0; i < running.size(); i++) {
      Running r = running.get(i);
      if (r.lostMs() >= 0 && r.rank() > w.rank() && !l.stopped.contains(i)) {
        may.add(i);
      }
    }
    may.sort(
        Comparator.comparingDouble(i -> running.get(i).lostMs() * running.get(i).size().cores()));
    Size free = l.least(s.nowMs(), w.estimateMs());
    double lost = 0;
    for (int i : may) {
      if (free.holds(w.size())) {
        break;
      }
      Running r = running.get(i);
      free = free.plus(r.size());
      lost += r.lostMs() * r.size().cores();
      victims.add(i);
    }
    return free.holds(w.size()) ? lost : Double.POSITIVE_INFINITY;
  }

  /** The machine free first, if in time for the deadline or before a new one could be up. */
  private Line soonFree(Work w, int[] zones, int together, long newOneMs) {
    Line best = null;
    long bestAt = Long.MAX_VALUE;
    for (Line l : lines) {
      if (!allowed(w, l, zones, together)) {
        continue;
      }
      long run = w.estimateMs() + fetchMs(w, l);
      long at = l.firstFit(s.nowMs(), run, w.size());
      if (at < bestAt && (at <= newOneMs || at + run <= w.dueMs())) {
        best = l;
        bestAt = at;
      }
    }
    if (best != null) {
      take(best, bestAt, w);
    }
    return best;
  }

  private Line rent(Work w, int[] zones, int together) {
    if (rentals >= s.mostRentals()) {
      return null;
    }
    int best = -1;
    for (int i = 0; i < s.offers().size(); i++) {
      Offer o = s.offers().get(i);
      if (o.size().holds(w.size())
          && allowed(w, o.type(), o.zone(), o.spot(), zones, together)
          && (best < 0 || o.pricePerH() < s.offers().get(best).pricePerH())) {
        best = i;
      }
    }
    if (best < 0) {
      return null;
    }
    rentals++;
    rented[best]++;
    Line l = new Line(s.offers().get(best), s.nowMs());
    take(l, s.nowMs() + s.offers().get(best).bootMs(), w);
    lines.add(l);
    return l;
  }

  /** A machine's free room over time, and what of it is spoken for. */
  private static final class Line {
    final Room room;
    final int index;
    final int type;
    final int zone;
    final boolean spot;
    final double fetchGbPerS;
    final List<Step> steps = new ArrayList<>();
    final IntOpenHashSet stopped = new IntOpenHashSet();
    Size now;
    boolean taken;

    Line(Room room, int index, long nowMs) {
      this.room = room;
      this.index = index;
      this.type = room.type();
      this.zone = room.zone();
      this.spot = room.spot();
      this.fetchGbPerS = room.fetchGbPerS();
      if (room.up()) {
        this.now = room.free();
        for (Running r : room.running()) {
          steps.add(new Step(Math.max(r.endMs(), nowMs + 1), r.size()));
        }
      } else {
        this.now = new Size(0, 0, 0);
        steps.add(new Step(Math.max(room.readyMs(), nowMs + 1), room.free()));
      }
    }

    Line(Offer o, long nowMs) {
      this.room = null;
      this.index = -1;
      this.type = o.type();
      this.zone = o.zone();
      this.spot = o.spot();
      this.fetchGbPerS = o.fetchGbPerS();
      this.now = new Size(0, 0, 0);
      steps.add(new Step(nowMs + o.bootMs(), o.size()));
    }

    boolean fits(long atMs, long runMs, Size need) {
      return least(atMs, runMs).holds(need);
    }

    /** What is free all through the given time. */
    Size least(long atMs, long runMs) {
      Size least = freeAt(atMs);
      for (Step r : steps) {
        if (r.atMs() > atMs && r.atMs() < atMs + runMs && r.size().cores() < 0) {
          Size f = freeAt(r.atMs());
          least =
              new Size(
                  Math.min(least.cores(), f.cores()),
                  Math.min(least.cards(), f.cards()),
                  Math.min(least.ram(), f.ram()));
        }
      }
      return least;
    }

    private Size freeAt(long atMs) {
      Size free = now;
      for (Step r : steps) {
        if (r.atMs() <= atMs) {
          free = free.plus(r.size());
        }
      }
      return free;
    }

    long firstFit(long fromMs, long runMs, Size need) {
      long best = Long.MAX_VALUE;
      for (Step r : steps) {
        if (r.atMs() >= fromMs
            && r.atMs() < best
            && r.size().cores() > 0
            && fits(r.atMs(), runMs, need)) {
          best = r.atMs();
        }
      }
      return best;
    }

    void take(long atMs, long runMs, Size need) {
      taken = true;
      steps.add(new Step(atMs, new Size(-need.cores(), -need.cards(), -need.ram())));
      steps.add(new Step(atMs + Math.max(1, runMs), need));
    }

    /** The task goes now instead of later. */
    void stop(int i, long nowMs) {
      Running r = room.running().get(i);
      stopped.add(i);
      steps.remove(new Step(Math.max(r.endMs(), nowMs + 1), r.size()));
      now = now.plus(r.size());
    }
  }

  /** A change of what is free. */
  private record Step(long atMs, Size size) {}
}
