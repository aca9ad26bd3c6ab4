package dev.windbend.plan;

import dev.windbend.plan.Snapshot.InstanceOffer;
import dev.windbend.plan.Snapshot.PendingJob;
import dev.windbend.plan.Snapshot.Running;
import dev.windbend.plan.Snapshot.Size;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * One round of the design's loop (paper, Algorithm 1), as a pure function: idle paid room first;
 * wait while the slack allows; queue behind a machine that is free soon enough, which is held; else
 * extend a paid block or rent, whichever costs less.
 *
 * <p>The tasks of a job are alike, so a job looks at each machine once and not once for each task,
 * and what one job has found full is not searched again for another of its size.
 */
public final class Planner {
  /** A job must begin within four minutes of its submission; at half of that it goes first. */
  private static final long BEGIN_MS = 120_000;

  /** The fraction of such a job's tasks that goes first, as its divisor. */
  private static final int BEGIN_PART = 8;

  /** Older ones are long overdue. */
  private static final long OVERDUE_MS = 240_000;

  /** Room at twice the cheapest price is taken only where it saves so much time. */
  private static final double DEAR_MS = 3_000;

  /** Each core that a machine has free speaks as much against it: others run empty and go back. */
  private static final double LOOSE_MS = 100;

  /** What is to be free soon may be late by so much. */
  private static final double EARLY_MS = 1_000;

  private final Snapshot s;
  private final List<MachineReservations> lines = new ArrayList<>();
  private final List<Full> full = new ArrayList<>();
  private final Ask[] asks;
  private final int[] rented;
  private final int[] machinesIn;
  private final double[] usedCores;
  private final double[] usedGpus;
  private final List<SchedulingDecision.Place> places = new ArrayList<>();
  private final List<SchedulingDecision.Stop> stops = new ArrayList<>();
  private double cheapest = Double.POSITIVE_INFINITY;
  private int lowestRank = -1;
  private int rentals;
  private int looks;
  private double shortCores;

  /** Nothing of this size gets free before that time. */
  private record Full(Size size, long untilMs) {}

  /** A machine with what speaks for or against it. */
  private record Choice(MachineReservations line, double score, long atMs, List<Integer> victims) {
    private static final Comparator<Choice> BEST =
        Comparator.comparingDouble(Choice::score).thenComparingInt(c -> c.line.index);
  }

  /** A job being served in this round. */
  private static final class Ask {
    final PendingJob w;
    final int index;
    final int[] zones;
    int left;
    int together;

    Ask(PendingJob w, int index) {
      this.w = w;
      this.index = index;
      this.zones = w.placedPerZone().clone();
      this.left = w.waiting();
      this.together = w.together() ? firstUsed(zones) : -1;
    }

    private static int firstUsed(int[] zones) {
      for (int z = 0; z < zones.length; z++) {
        if (zones[z] > 0) {
          return z;
        }
      }
      return -1;
    }

    boolean mayUse(int type, int zone, boolean spot) {
      return (w.types() == null || w.types()[type])
          && (w.zone() < 0 || w.zone() == zone)
          && (together < 0 || together == zone)
          && (w.spot() || !spot)
          && (!w.spread() || zones[zone] + 1 <= (w.tasks() + 1) / 2);
    }

    boolean mayUse(MachineReservations l) {
      return mayUse(l.type, l.zone, l.spot)
          && (l.room == null || !w.avoidRooms().contains(l.index));
    }

    void took(MachineReservations l) {
      zones[l.zone]++;
      together = w.together() ? l.zone : -1;
      left--;
    }
  }

  private Planner(Snapshot s) {
    this.s = s;
    this.asks = new Ask[s.works().size()];
    this.rented = new int[s.offers().size()];
    this.usedCores = s.teams().stream().mapToDouble(Snapshot.Team::usedCores).toArray();
    this.usedGpus = s.teams().stream().mapToDouble(Snapshot.Team::usedGpus).toArray();
    int zones = 0;
    for (InstanceOffer o : s.offers()) {
      zones = Math.max(zones, o.zone() + 1);
    }
    this.machinesIn = new int[zones];
    for (int i = 0; i < s.rooms().size(); i++) {
      MachineReservations l = new MachineReservations(s.rooms().get(i), i, s.nowMs());
      lines.add(l);
      cheapest = Math.min(cheapest, l.room.pricePerH());
      if (l.zone < zones) {
        machinesIn[l.zone]++;
      }
      if (l.room.up()) {
        for (Running r : l.room.running()) {
          lowestRank = Math.max(lowestRank, r.lostMs() >= 0 ? r.rank() : -1);
        }
      }
    }
  }

  public static SchedulingDecision plan(Snapshot snapshot) {
    return new Planner(snapshot).run();
  }

  private SchedulingDecision run() {
    List<Ask> order = new ArrayList<>();
    for (int i = 0; i < asks.length; i++) {
      PendingJob w = s.works().get(i);
      asks[i] = new Ask(w, i);
      if (w.waiting() > 0 && w.notBeforeMs() <= s.nowMs()) {
        order.add(asks[i]);
      }
    }
    // Least work first would leave the largest for ever where capacity is short all day.
    order.sort(Comparator.<Ask>comparingLong(a -> -a.w.ageMs()));
    for (Ask a : order) {
      if (a.w.overdue() && underLimit(a.w) > 0) {
        useIdle(a, a.left - 1, Double.POSITIVE_INFINITY);
      }
    }
    for (Ask a : order) {
      if (mustBegin(a.w)) {
        serve(a, 1 + (a.w.waiting() - 1) / BEGIN_PART);
      }
    }
    for (Ask a : order) {
      if (s.oldestFirst() && a.w.ageMs() >= OVERDUE_MS) {
        serve(a, a.left);
      }
    }
    order.sort(
        Comparator.<Ask>comparingInt(a -> a.w.rank())
            .thenComparing(a -> a.w.hopeless())
            .thenComparing(a -> !a.w.displaced())
            .thenComparingLong(a -> a.w.displaced() ? a.w.dueMs() : 0)
            .thenComparingLong(a -> a.w.displaced() ? a.w.dueMs() - a.w.estimateMs() : 0)
            .thenComparingDouble(a -> remaining(a.w)));
    for (Ask a : order) {
      serve(a, a.left);
    }
    List<SchedulingDecision.Rental> rentals = new ArrayList<>();
    for (int i = 0; i < rented.length; i++) {
      if (rented[i] > 0) {
        rentals.add(new SchedulingDecision.Rental(i, rented[i]));
      }
    }
    List<Integer> spare = new ArrayList<>();
    List<Integer> back = new ArrayList<>();
    idle(spare, back);
    return new SchedulingDecision(stops, places, rentals, spare, back, shortCores, looks);
  }

  /** Idle machines: at the end of their block they go, those beyond the reserve before it. */
  private void idle(List<Integer> spare, List<Integer> back) {
    List<MachineReservations> idle = new ArrayList<>();
    double cores = -s.reserveCores();
    for (MachineReservations l : lines) {
      if (l.room != null && l.room.up() && l.room.idle() && !l.taken) {
        idle.add(l);
        spare.add(l.index);
        cores += l.now.cores();
      }
    }
    // The dear ones first.
    idle.sort(Comparator.<MachineReservations>comparingDouble(l -> -l.room.pricePerH()));
    for (MachineReservations l : idle) {
      boolean beyond = cores >= l.now.cores() && l.room.goFromMs() <= s.nowMs();
      if (l.room.paidUntilMs() <= s.nowMs() || beyond) {
        back.add(l.index);
        cores -= l.now.cores();
      }
    }
  }

  private static boolean mustBegin(PendingJob w) {
    return !w.begun() && w.ageMs() >= BEGIN_MS;
  }

  private static double remaining(PendingJob w) {
    return w.waiting() * w.size().cores() * w.estimateMs();
  }

  /** Serves so many of a job's tasks at the most. */
  private void serve(Ask a, int most) {
    int keep = a.left - Math.min(Math.min(a.left, most), underLimit(a.w));
    useIdle(a, keep, costOfANewOne(a.w));
    if (a.left > keep && a.w.rank() < lowestRank) {
      // What is free after the time to start by is no help while that can still be kept.
      boolean early = s.nowMs() < a.w.startByMs();
      long patient = s.nowMs() + s.patienceMs();
      soonFree(a, keep, early ? Math.min(patient, a.w.startByMs()) : patient, false);
      makeRoom(a, keep);
    }
    if (a.left <= keep) {
      return;
    }
    long boot = bootMs(a.w);
    long slack = a.w.dueMs() - s.nowMs() - a.w.estimateMs() - boot;
    boolean prompt = a.w.guaranteed() || mustBegin(a.w);
    if (slack > a.w.estimateMs() + s.periodMs() && !prompt) {
      return; // can wait
    }
    soonFree(a, keep, s.nowMs() + boot, !prompt);
    rent(a, keep);
    if (a.left > keep) {
      shortCores += (a.left - keep) * a.w.size().cores();
      a.left = keep;
    }
  }

  private int underLimit(PendingJob w) {
    Snapshot.Team t = s.teams().get(w.team());
    return new Size(t.maxCores() - usedCores[w.team()], t.maxGpus() - usedGpus[w.team()], 0)
        .times(new Size(w.size().cores(), w.size().gpus(), 0));
  }

  /** The room is spoken for from then on, and counts for the team's limit at once. */
  private void take(Ask a, MachineReservations l, long atMs) {
    PendingJob w = a.w;
    l.take(atMs, w.estimateMs() + fetchMs(w, l), w.size());
    usedCores[w.team()] += w.size().cores();
    usedGpus[w.team()] += w.size().gpus();
    a.took(l);
  }

  private void place(Ask a, MachineReservations l) {
    take(a, l, s.nowMs());
    places.add(new SchedulingDecision.Place(a.index, l.index));
  }

  private static long fetchMs(PendingJob w, MachineReservations l) {
    return (l.room != null && l.room.images().contains(w.image())) || l.fetchGbPerS <= 0
        ? 0
        : (long) (1000 * w.imageGb() / l.fetchGbPerS);
  }

  /**
   * Idle room on machines that are up: those that can start soonest and cost least, then the
   * tightest fit. So dear machines run empty first. Where an early start counts, a machine that has
   * the image and is free before another could have fetched it is held instead.
   */
  private void useIdle(Ask a, int keep, double newOne) {
    PendingJob w = a.w;
    boolean early = s.nowMs() < w.startByMs();
    List<Choice> choices = new ArrayList<>();
    looks += lines.size();
    for (MachineReservations l : lines) {
      if (l.room == null || !l.room.up() || !a.mayUse(l)) {
        continue;
      }
      long fetch = fetchMs(w, l);
      double delay = fetch + l.room.hearsMs();
      if (l.now.holds(w.size()) && l.fitsNow(w.estimateMs() + fetch, w.size())) {
        if (extendingCosts(w, l) <= newOne) {
          choices.add(new Choice(l, score(l, delay), 0, null));
        }
      } else if (early && fetch == 0) {
        long at = l.firstFit(w.estimateMs(), w.size());
        if (at - s.nowMs() < w.imageGb() * 1000 / l.fetchGbPerS) {
          choices.add(new Choice(l, score(l, at - s.nowMs() + EARLY_MS), at, null));
        }
      }
    }
    choices.sort(Choice.BEST);
    for (Choice c : choices) {
      if (c.atMs == 0) {
        long run = w.estimateMs() + fetchMs(w, c.line);
        while (a.left > keep && a.mayUse(c.line) && c.line.fitsNow(run, w.size())) {
          place(a, c.line);
        }
      } else if (a.left > keep && a.mayUse(c.line)) {
        take(a, c.line, c.atMs);
      }
      if (a.left <= keep) {
        return;
      }
    }
  }

  private double score(MachineReservations l, double delayMs) {
    double dear = cheapest > 0 ? l.room.pricePerH() / cheapest - 1 : 0;
    return l.now.cores() * LOOSE_MS + delayMs + DEAR_MS * dear;
  }

  /** Running past the paid block extends it. That must not cost more than a new machine would. */
  private double extendingCosts(PendingJob w, MachineReservations l) {
    long past = s.nowMs() + w.estimateMs() - l.room.paidUntilMs();
    return past <= 0 ? 0 : l.room.pricePerH() * past;
  }

  /** Infinite if a new one would come too late. */
  private double costOfANewOne(PendingJob w) {
    double least = Double.POSITIVE_INFINITY;
    for (InstanceOffer o : s.offers()) {
      if ((w.types() == null || w.types()[o.type()])
          && (w.zone() < 0 || w.zone() == o.zone())
          && (w.spot() || !o.spot())
          && o.size().holds(w.size())
          && s.nowMs() + o.bootMs() + w.estimateMs() <= w.dueMs()) {
        least = Math.min(least, o.pricePerH() * (w.estimateMs() + o.bootMs()));
      }
    }
    return least;
  }

  private long bootMs(PendingJob w) {
    long boot = 0;
    for (InstanceOffer o : s.offers()) {
      if (w.types() == null || w.types()[o.type()]) {
        boot = Math.max(boot, o.bootMs());
      }
    }
    return boot;
  }

  /**
   * Stops work of lower priority for this work, where that loses least, and not if more would be
   * lost than gained.
   */
  private void makeRoom(Ask a, int keep) {
    PriorityQueue<Choice> choices = new PriorityQueue<>(Choice.BEST);
    for (MachineReservations l : lines) {
      if (a.left > keep && l.room != null && l.room.up() && a.mayUse(l)) {
        offerVictims(a.w, l, choices);
      }
    }
    while (a.left > keep && !choices.isEmpty()) {
      Choice c = choices.poll();
      if (!a.mayUse(c.line)) {
        continue;
      }
      for (int v : c.victims) {
        // It counts for its team's limit until it is proved gone.
        c.line.stop(v);
        stops.add(new SchedulingDecision.Stop(c.line.index, v));
      }
      full.clear();
      place(a, c.line);
      offerVictims(a.w, c.line, choices);
    }
  }

  /** Picks the cheapest few to stop. */
  private void offerVictims(PendingJob w, MachineReservations l, PriorityQueue<Choice> choices) {
    looks++;
    List<Running> running = l.room.running();
    List<Integer> may = new ArrayList<>();
    for (int i = 0; i < running.size(); i++) {
      Running r = running.get(i);
      if (r.lostMs() >= 0 && r.rank() > w.rank() && !l.stopped.contains(i)) {
        may.add(i);
      }
    }
    if (may.isEmpty()) {
      return;
    }
    may.sort(
        Comparator.comparingDouble(i -> running.get(i).lostMs() * running.get(i).size().cores()));
    Size free = l.least(w.estimateMs());
    // Stops and starts travel in answers, so a machine that reports soon loses least.
    double lost = (fetchMs(w, l) + l.room.hearsMs()) * w.size().cores();
    List<Integer> victims = new ArrayList<>();
    for (int i : may) {
      if (free.holds(w.size())) {
        break;
      }
      Running r = running.get(i);
      free = free.plus(r.size());
      lost += r.lostMs() * r.size().cores();
      victims.add(i);
    }
    if (free.holds(w.size()) && lost < w.size().cores() * w.estimateMs()) {
      choices.add(new Choice(l, lost, 0, victims));
    }
  }

  /**
   * Holds the machines free first, if free by that time or, where it is said so, in time for the
   * deadline.
   */
  private void soonFree(Ask a, int keep, long byMs, boolean orInTime) {
    PendingJob w = a.w;
    long untilMs = orInTime ? Math.max(byMs, w.dueMs() - w.estimateMs()) : byMs;
    for (Full f : full) {
      if (w.size().holds(f.size) && untilMs <= f.untilMs) {
        return;
      }
    }
    PriorityQueue<Choice> choices = new PriorityQueue<>(Choice.BEST);
    boolean all = !w.spread() && a.together < 0;
    for (MachineReservations l : lines) {
      if (a.left <= keep) {
        return;
      }
      if (a.mayUse(l)) {
        offerSoon(w, l, byMs, orInTime, choices);
      } else {
        all = false;
      }
    }
    while (a.left > keep && !choices.isEmpty()) {
      Choice c = choices.poll();
      if (a.mayUse(c.line)) {
        if (c.line.room == null || !c.line.room.up()) {
          shortCores += w.size().cores();
        }
        take(a, c.line, c.atMs);
        offerSoon(w, c.line, byMs, orInTime, choices);
      }
    }
    if (a.left > keep && all && untilMs == byMs) {
      full.add(new Full(w.size(), byMs));
    }
  }

  private void offerSoon(
      PendingJob w,
      MachineReservations l,
      long byMs,
      boolean orInTime,
      PriorityQueue<Choice> choices) {
    looks++;
    long run = w.estimateMs() + fetchMs(w, l);
    long at = l.firstFit(run, w.size());
    if (at <= byMs || (orInTime && at < Long.MAX_VALUE && at + run <= w.dueMs())) {
      choices.add(new Choice(l, at, at, null));
    }
  }

  private void rent(Ask a, int keep) {
    PendingJob w = a.w;
    while (a.left > keep && rentals < s.mostRentals()) {
      int best = cheapest(a);
      if (best < 0) {
        return;
      }
      InstanceOffer o = s.offers().get(best);
      rentals++;
      rented[best]++;
      MachineReservations l = new MachineReservations(o, s.nowMs());
      lines.add(l);
      full.clear();
      long at = s.nowMs() + o.bootMs();
      for (int n = o.size().times(w.size()); n > 0 && a.left > keep && a.mayUse(l); n--) {
        take(a, l, at);
        shortCores += w.size().cores();
      }
    }
  }

  /**
   * The cheapest kind; of two zones at the same price the one that had fewer of our machines before
   * this round, so that a round needs one rental and not one for each zone.
   */
  private int cheapest(Ask a) {
    int best = -1;
    for (int i = 0; i < s.offers().size(); i++) {
      InstanceOffer o = s.offers().get(i);
      if (!o.size().holds(a.w.size()) || !a.mayUse(o.type(), o.zone(), o.spot())) {
        continue;
      }
      InstanceOffer b = best < 0 ? null : s.offers().get(best);
      if (b == null
          || o.pricePerH() < b.pricePerH()
          || (o.pricePerH() == b.pricePerH() && machinesIn[o.zone()] < machinesIn[b.zone()])) {
        best = i;
      }
    }
    return best;
  }
}
