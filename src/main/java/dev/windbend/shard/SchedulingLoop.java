package dev.windbend.shard;

import dev.windbend.daemon.io.EventLoop;
import dev.windbend.daemon.io.Names;
import dev.windbend.job.Job;
import dev.windbend.job.JobRegistry;
import dev.windbend.job.Placement;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineType;
import dev.windbend.machine.MachineTypeCatalog;
import dev.windbend.machine.TaskRequirements;
import dev.windbend.plan.Deadlines;
import dev.windbend.plan.Estimates;
import dev.windbend.plan.Planner;
import dev.windbend.plan.Snapshot;
import dev.windbend.plan.Wanted;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A shard's planning rounds: what is goes into a snapshot, and what it wants is carried out. */
final class SchedulingLoop {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingLoop.class);
  private static final long GAP_MS = 150;
  private static final long LONGEST_GAP_MS = 2_000;

  /** Rounds on events take no more of the processor than one part in so many. */
  private static final int COST_PART = 15;

  private static final long RENT_GAP_MS = 2_000;

  /** One round in so many serves the long overdue first. */
  private static final int OLDEST_FIRST = 4;

  private static final int RENTAL = 50;
  private static final int MOST_PENDING = 8;
  private static final long IDLE_MS = 10_000;
  private static final double LATELY_S = 60;
  private static final double BOOT_PATIENCE = 2.5;
  private static final double BOOT_LATE = 1.5;

  /**
   * Operators want no job to wait for 90 s beside room that it could have, on whatever shard's
   * machine. A job that stalls for half of that time is overdue.
   */
  private static final long OVERDUE_MS = 45_000;

  private final EventLoop loop;
  private final MachineTypeCatalog catalog;
  private final Facts facts;
  private final Policy policy;
  private final Estimates estimates;
  private final Names images;
  private final JobRegistry board;
  private final Fleet fleet;
  private final MachineTransfers loans;
  private final long token;
  private final BooleanSupplier mayAct;
  private long lastMs;
  private long costMs;
  private long lastRentMs = Long.MIN_VALUE / 2;
  private long count;
  private boolean due;

  SchedulingLoop(
      EventLoop loop,
      MachineTypeCatalog catalog,
      Facts facts,
      Policy policy,
      Estimates estimates,
      Names images,
      JobRegistry board,
      Fleet fleet,
      MachineTransfers loans,
      long token,
      BooleanSupplier mayAct) {
    this.token = token;
    this.loop = loop;
    this.catalog = catalog;
    this.facts = facts;
    this.policy = policy;
    this.estimates = estimates;
    this.images = images;
    this.board = board;
    this.fleet = fleet;
    this.loans = loans;
    this.mayAct = mayAct;
    this.lastMs = loop.nowMs();
  }

  /** Something happened: a round follows soon. */
  void want() {
    if (!due) {
      due = true;
      if (policy.roundsOnEvents()) {
        loop.after(GAP_MS, this::onEvent);
      }
    }
  }

  /** A round at once, unless one has just been: then soon. */
  void now() {
    if (!policy.roundsOnEvents() || loop.nowMs() - lastMs < gapMs()) {
      want();
    } else {
      round();
    }
  }

  /** Events are joined when rounds cost much. */
  private long gapMs() {
    return Math.min(LONGEST_GAP_MS, Math.max(GAP_MS, COST_PART * costMs));
  }

  private void onEvent() {
    long wait = gapMs() - (loop.nowMs() - lastMs);
    if (due && wait > 0) {
      loop.after(wait, this::onEvent);
    } else if (due) {
      round();
    }
  }

  /** Called again and again: the period's round, if none has been. */
  void tick(long everyMs) {
    long now = loop.nowMs();
    long most = policy.roundsOnEvents() ? Math.max(everyMs, gapMs()) : policy.periodMs();
    if (now - lastMs >= most) {
      round();
    }
  }

  long costMs() {
    return costMs;
  }

  private void round() {
    due = false;
    if (!mayAct.getAsBoolean()) {
      return;
    }
    long now = loop.nowMs();
    lastMs = now;
    count++;
    List<Job> works = new ArrayList<>();
    for (Job j : board.all()) {
      if (j.waitingCount() > 0) {
        works.add(j);
      }
    }
    List<Machine> rooms = new ArrayList<>();
    for (Machine m : fleet.machines()) {
      if (!m.returning && !m.draining && m.unheard == 0 && now >= m.fullUntilMs) {
        rooms.add(m);
      }
    }
    List<Snapshot.Offer> offers = offers();
    List<List<Placement>> running = new ArrayList<>();
    Wanted wanted = Planner.plan(snapshot(now, works, rooms, offers, running));
    carryOut(wanted, now, works, rooms, running);
    MachineRequest.Overdue overdue = loans.mayAskForOverdue() ? overdueTasks(works, now) : null;
    if ((wanted.shortCores() > 0 || overdue != null) && loans.mayAsk()) {
      loans.ask(
          wanted.shortCores(),
          largestMachineCores(),
          !fleet.refusedSome(),
          overdue,
          given -> {
            if (mayAct.getAsBoolean()) {
              rent(wanted.rentals(), offers, given);
            }
          });
    } else if (!loans.asking()) {
      rent(wanted.rentals(), offers, 0);
    }
    for (int i : wanted.giveBack()) {
      fleet.giveBack(rooms.get(i), "idle at the end of its block");
    }
    costMs = loop.nowMs() - now;
  }

  private void carryOut(
      Wanted wanted,
      long now,
      List<Job> works,
      List<Machine> rooms,
      List<List<Placement>> running) {
    for (Wanted.Stop stop : wanted.stops()) {
      Placement p = running.get(stop.room()).get(stop.running());
      LOG.info("stopping {} on {} to make room", p.taskName(), p.machine);
      p.stop(0);
    }
    Set<Job> changed = new LinkedHashSet<>();
    for (Wanted.Place place : wanted.places()) {
      Job job = works.get(place.work());
      Machine m = rooms.get(place.room());
      m.add(job.place(job.nextWaiting(), m.name, now, token, count));
      changed.add(job);
    }
    changed.forEach(board::touched);
    List<Machine> spare = new ArrayList<>();
    for (int i : wanted.spare()) {
      spare.add(rooms.get(i));
    }
    loans.spare(spare);
  }

  private static boolean overdue(Job job, long now) {
    return job.waitingCount() > 0 && job.notBeforeMs <= now && job.stalledMs(now) >= OVERDUE_MS;
  }

  /** One task of each overdue job that no machine of this shard has room for; null: none. */
  private MachineRequest.Overdue overdueTasks(List<Job> jobs, long now) {
    Job longest = null;
    double cores = 0;
    double[] used = usedCores();
    for (Job j : jobs) {
      double limit = facts.teams().get(j.team).coresMost();
      if (!overdue(j, now)
          || used[j.team] + j.spec.cores() > limit
          || hasRoom(requirements(j), now)) {
        continue;
      }
      used[j.team] += j.spec.cores();
      cores += j.spec.cores();
      if (longest == null || longest.stalledMs(now) < j.stalledMs(now)) {
        longest = j;
      }
    }
    return longest == null
        ? null
        : new MachineRequest.Overdue(
            requirements(longest), (int) Math.ceil(cores / largestMachineCores()));
  }

  private boolean hasRoom(TaskRequirements task, long now) {
    return fleet.machines().stream().anyMatch(m -> m.usable(now) && task.hasRoomOn(m));
  }

  private double largestMachineCores() {
    return catalog.all().stream().mapToDouble(MachineType::cores).max().orElse(1);
  }

  private double[] usedCores() {
    double[] cores = new double[facts.teams().size()];
    for (Job j : board.all()) {
      cores[j.team] += j.placements().size() * j.spec.cores();
    }
    return cores;
  }

  /** What the next task of a job needs, beside those that are placed. */
  private TaskRequirements requirements(Job j) {
    return new TaskRequirements(
        j.spec.cores(),
        j.spec.cards(),
        j.spec.ram(),
        j.spec.types(),
        allowedZones(j),
        j.spec.spot());
  }

  private List<String> allowedZones(Job j) {
    if (j.spec.zone() != null) {
      return List.of(j.spec.zone());
    }
    int[] placed = placedPerZone(j);
    boolean anyPlaced = Arrays.stream(placed).anyMatch(n -> n > 0);
    List<String> zones = new ArrayList<>();
    for (int z = 0; z < placed.length; z++) {
      boolean apart = j.spec.together() && anyPlaced && placed[z] == 0;
      boolean full = j.spec.spread() && placed[z] + 1 > (j.spec.tasks() + 1) / 2;
      if (!apart && !full) {
        zones.add(catalog.zones.name(z));
      }
    }
    return zones;
  }

  private int[] placedPerZone(Job j) {
    int[] perZone = new int[catalog.zones.size()];
    if (j.spec.spread() || j.spec.together()) {
      for (Placement p : j.placements()) {
        Machine m = fleet.find(p.machine);
        if (m != null) {
          perZone[m.zone]++;
        }
      }
    }
    return perZone;
  }

  private void rent(List<Wanted.Rental> rentals, List<Snapshot.Offer> offers, int less) {
    // Event rounds are many, and each batch takes changes and calls.
    long now = loop.nowMs();
    if (rentals.isEmpty()
        || fleet.pending().size() > MOST_PENDING
        || now - lastRentMs < RENT_GAP_MS) {
      return;
    }
    lastRentMs = now;
    int spared = less;
    for (Wanted.Rental r : rentals) {
      Snapshot.Offer o = offers.get(r.offer());
      int n = Math.max(0, r.count() - spared);
      spared = Math.max(0, spared - r.count());
      if (n > 0) {
        fleet.rent(catalog.type(o.type()), o.zone(), o.spot(), n);
      }
    }
  }

  private List<Snapshot.Offer> offers() {
    List<Snapshot.Offer> all = new ArrayList<>();
    for (MachineType t : catalog.all()) {
      Snapshot.Size size = new Snapshot.Size(t.cores(), t.cards(), t.ram());
      for (int zone : t.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          if (!fleet.refused(t.index(), zone, spot)) {
            all.add(
                new Snapshot.Offer(
                    t.index(),
                    zone,
                    spot,
                    size,
                    spot ? t.spotPrice() : t.price(),
                    (long) (1000 * t.bootS()),
                    t.fetchGbPerS()));
          }
        }
      }
    }
    return all;
  }

  private Snapshot snapshot(
      long now,
      List<Job> works,
      List<Machine> machines,
      List<Snapshot.Offer> offers,
      List<List<Placement>> running) {
    // Everything not proved gone counts, wherever it is.
    double[] cores = usedCores();
    double[] cards = new double[cores.length];
    for (Job j : board.all()) {
      cards[j.team] += j.placements().size() * j.spec.cards();
    }
    List<Snapshot.Team> teams = new ArrayList<>();
    for (int i = 0; i < cores.length; i++) {
      Facts.TeamFact t = facts.teams().get(i);
      teams.add(new Snapshot.Team(t.coresMost(), t.cardsMost(), cores[i], cards[i]));
    }
    Object2IntOpenHashMap<String> roomOf = new Object2IntOpenHashMap<>();
    List<Snapshot.Room> rooms = new ArrayList<>();
    for (Machine m : machines) {
      roomOf.put(m.name, rooms.size());
      List<Placement> on = new ArrayList<>(m.tasks.values());
      // What is stopped without grace is gone before the next start on its machine.
      on.removeIf(p -> p.stopGraceS == 0);
      running.add(on);
      rooms.add(room(m, on, now));
    }
    for (Fleet.Pending p : fleet.pending()) {
      for (int i = 0; i < p.count(); i++) {
        rooms.add(pendingRoom(p, now));
      }
    }
    List<Snapshot.Work> views = new ArrayList<>();
    Set<Job> guaranteed = facts.aims().guaranteeS() > 0 ? guaranteed() : Set.of();
    works.forEach(j -> views.add(work(j, now, roomOf, guaranteed)));
    // The cap is on calls to the cloud, and one call rents many.
    double calls = facts.cloudRps() * policy.periodMs() / 1000.0 / facts.nodes();
    return new Snapshot(
        now,
        policy.periodMs(),
        (long) (2_000 * facts.reportS()),
        RENTAL * (int) Math.max(1, calls),
        count % OLDEST_FIRST == 0,
        cameLately(),
        teams,
        views,
        rooms,
        offers);
  }

  /** The cores of the jobs that came while a machine could have booted. */
  private double cameLately() {
    double bootS = catalog.all().stream().mapToDouble(MachineType::bootS).max().orElse(0);
    double lately = 1000 * Math.max(LATELY_S, bootS);
    double cores = 0;
    for (Job j : board.all()) {
      cores += loop.wallMs() - j.submittedWallMs <= lately ? j.spec.tasks() * j.spec.cores() : 0;
    }
    return cores;
  }

  /** Jobs that fit into their team's guarantee together with the team's earlier ones. */
  private Set<Job> guaranteed() {
    List<Job> jobs = new ArrayList<>(board.all());
    jobs.sort(Comparator.comparingLong(j -> j.submittedWallMs));
    double[] cores = new double[facts.teams().size()];
    double[] cards = new double[cores.length];
    Set<Job> all = new HashSet<>();
    for (Job j : jobs) {
      int open = j.waitingCount() + j.placements().size();
      cores[j.team] += open * j.spec.cores();
      cards[j.team] += open * j.spec.cards();
      Facts.TeamFact t = facts.teams().get(j.team);
      if (cores[j.team] <= t.cores() + 1e-6 && cards[j.team] <= t.cards() + 1e-6) {
        all.add(j);
      }
    }
    return all;
  }

  private Snapshot.Room room(Machine m, List<Placement> on, long now) {
    MachineType t = m.type;
    Snapshot.Size free = new Snapshot.Size(t.cores(), t.cards(), t.ram());
    List<Snapshot.Running> running = new ArrayList<>();
    for (Placement p : on) {
      Snapshot.Size size = size(p.job);
      free = free.minus(size);
      running.add(
          new Snapshot.Running(
              expectedEnd(p, t, now), size, p.job.spec.urgency().ordinal(), lostMs(p, now)));
    }
    boolean up = m.usable(now);
    long sinceS = (now - m.rentedMs) / 1000;
    long ready =
        m.seenMs >= 0
            ? now + 1_000
            : sinceS > BOOT_LATE * t.bootS()
                ? now + (long) (1000 * BOOT_PATIENCE * t.bootS())
                : Math.max(m.rentedMs + (long) (1000 * t.bootS()), now + 1_000);
    long block = policy.blockMs();
    // The block in which it went idle (or now, if it is busy) is paid to its end.
    long ref = m.idleSinceMs >= 0 ? m.idleSinceMs : now;
    long blocks = Math.max(1, (Math.max(0, ref - m.rentedMs) + block - 1) / block);
    return new Snapshot.Room(
        t.index(),
        m.zone,
        m.spot,
        up,
        m.listening ? 0 : Math.max(0, m.seenMs + (long) (1000 * facts.reportS()) - now),
        free,
        ready,
        m.tasks.isEmpty(),
        m.rentedMs + blocks * block,
        Math.max(m.rentedMs + block, (m.idleSinceMs >= 0 ? m.idleSinceMs : now) + IDLE_MS),
        m.spot ? t.spotPrice() : t.price(),
        t.fetchGbPerS(),
        m.images,
        running);
  }

  /** What stopping it at once would lose; -1: it is being stopped, or its state is not known. */
  private static long lostMs(Placement p, long now) {
    if (p.stopping() || p.inherited && !p.seen) {
      return -1;
    }
    long ran = p.runningMs < 0 ? 0 : now - p.runningMs;
    long step = (long) (1000 * p.job.spec.checkpointS());
    return step > 0 ? ran % step : ran;
  }

  private Snapshot.Room pendingRoom(Fleet.Pending p, long now) {
    MachineType t = p.type();
    long ready = Math.max(p.sinceMs() + (long) (1000 * t.bootS()), now + 1_000);
    return new Snapshot.Room(
        t.index(),
        p.zone(),
        p.spot(),
        false,
        0,
        new Snapshot.Size(t.cores(), t.cards(), t.ram()),
        ready,
        false,
        ready,
        ready,
        p.spot() ? t.spotPrice() : t.price(),
        t.fetchGbPerS(),
        new IntOpenHashSet(),
        List.of());
  }

  private static Snapshot.Size size(Job j) {
    return new Snapshot.Size(j.spec.cores(), j.spec.cards(), j.spec.ram());
  }

  private double estimateS(Job j) {
    return Math.max(1, estimates.of(user(j), j.spec.estimateS()));
  }

  /** Whose recent times tell how long a task will run. */
  static String user(Job job) {
    return job.spec.team() + "/" + job.spec.kind();
  }

  private long expectedEnd(Placement p, MachineType t, long now) {
    if (p.stopping()) {
      return now + (long) (1000 * p.stopGraceS) + 1_000;
    }
    double e = estimateS(p.job);
    if (p.runningMs < 0) {
      return p.placedMs
          + (long) (1000 * (e + p.job.spec.imageGb() / Math.max(0.01, t.fetchGbPerS())));
    }
    return p.runningMs + (long) (1000 * Estimates.corrected(e, (now - p.runningMs) / 1000.0));
  }

  private Snapshot.Work work(
      Job j, long now, Object2IntOpenHashMap<String> roomOf, Set<Job> guaranteed) {
    boolean[] types = null;
    if (j.spec.types() != null) {
      types = new boolean[catalog.all().size()];
      for (MachineType t : catalog.all()) {
        types[t.index()] = j.spec.types().contains(t.name());
      }
    }
    IntOpenHashSet avoid = new IntOpenHashSet();
    for (String m : j.failedOn) {
      if (roomOf.containsKey(m)) {
        avoid.add(roomOf.getInt(m));
      }
    }
    double[] limits =
        facts
            .aims()
            .limits(
                j.spec.kind(),
                j.spec.dueS(),
                policy.impliedDue() * j.spec.estimateS(),
                policy.dueFromAims());
    long age = loop.wallMs() - j.submittedWallMs;
    double estimateS = estimateS(j);
    double startS =
        Math.max(
            facts.aims().waitS().getOrDefault(j.spec.kind(), 0.0),
            guaranteed.contains(j) ? facts.aims().guaranteeS() : 0);
    Deadlines due = Deadlines.next(limits, age / 1000.0, estimateS);
    return new Snapshot.Work(
        j.team,
        j.spec.urgency().ordinal(),
        size(j),
        types,
        j.spec.zone() == null ? -1 : catalog.zones.index(j.spec.zone()),
        j.spec.together(),
        j.spec.spread(),
        j.spec.spot(),
        images.index(j.spec.image()),
        j.spec.imageGb(),
        j.spec.tasks(),
        j.waitingCount(),
        placedPerZone(j),
        (long) (1000 * estimateS),
        now - age + (long) (1000 * due.dueS()),
        due.hopeless(),
        guaranteed.contains(j),
        now - age + (long) (1000 * startS),
        age,
        j.begun(),
        overdue(j, now),
        j.notBeforeMs,
        avoid);
  }
}
