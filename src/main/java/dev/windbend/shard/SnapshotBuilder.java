package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.job.JobRegistry;
import dev.windbend.job.Placement;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineType;
import dev.windbend.machine.MachineTypeCatalog;
import dev.windbend.plan.Deadlines;
import dev.windbend.plan.Estimates;
import dev.windbend.plan.Snapshot;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.NameIndex;
import dev.windbend.zone.ZoneGate;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Builds what a planning round looks at from the shard's jobs and machines. */
final class SnapshotBuilder {
  private static final int RENTAL = 50;
  private static final long IDLE_MS = 10_000;
  private static final double LATELY_S = 60;
  private static final double BOOT_PATIENCE = 2.5;
  private static final double BOOT_LATE = 1.5;

  private final EventLoop loop;
  private final MachineTypeCatalog catalog;
  private final DeploymentSpec facts;
  private final Policy policy;
  private final JobDeadlines deadlines;
  private final NameIndex images;
  private final JobRegistry board;
  private final Fleet fleet;
  private final OverdueJobs overdueJobs;
  private final ZoneGate zones;

  SnapshotBuilder(
      EventLoop loop,
      MachineTypeCatalog catalog,
      DeploymentSpec facts,
      Policy policy,
      JobDeadlines deadlines,
      NameIndex images,
      JobRegistry board,
      Fleet fleet,
      OverdueJobs overdueJobs,
      ZoneGate zones) {
    this.loop = loop;
    this.catalog = catalog;
    this.facts = facts;
    this.policy = policy;
    this.deadlines = deadlines;
    this.images = images;
    this.board = board;
    this.fleet = fleet;
    this.overdueJobs = overdueJobs;
    this.zones = zones;
  }

  /**
   * @param oldestFirst the long overdue are served first
   * @param running filled with the tasks of each machine, in the order that the snapshot has
   */
  Snapshot build(
      long now,
      boolean oldestFirst,
      List<Job> works,
      List<Machine> machines,
      List<Snapshot.InstanceOffer> offers,
      List<List<Placement>> running) {
    // Everything not proved gone counts, wherever it is.
    double[] cores = TeamUsage.cores(board.all(), facts.teams().size());
    double[] gpus = TeamUsage.gpus(board.all(), facts.teams().size());
    List<Snapshot.Team> teams = new ArrayList<>();
    for (int i = 0; i < cores.length; i++) {
      DeploymentSpec.TeamQuota t = facts.teams().get(i);
      teams.add(new Snapshot.Team(t.maxCores(), t.maxGpus(), cores[i], gpus[i]));
    }
    Object2IntOpenHashMap<String> roomOf = new Object2IntOpenHashMap<>();
    List<Snapshot.MachineCapacity> rooms = new ArrayList<>();
    for (Machine m : machines) {
      roomOf.put(m.name(), rooms.size());
      List<Placement> on = new ArrayList<>(m.tasks().values());
      // What is stopped without grace is gone before the next start on its machine.
      on.removeIf(p -> p.stopGraceS() == 0);
      running.add(on);
      rooms.add(room(m, on, now));
    }
    for (Fleet.Pending p : fleet.pending()) {
      if (zones.evacuates(p.zone())) {
        continue; // nobody can wait for it there
      }
      for (int i = 0; i < p.count(); i++) {
        rooms.add(pendingRoom(p, now));
      }
    }
    List<Snapshot.PendingJob> views = new ArrayList<>();
    Set<Job> guaranteed = facts.objectives().guaranteedStartSeconds() > 0 ? guaranteed() : Set.of();
    works.forEach(j -> views.add(work(j, now, roomOf, guaranteed)));
    // The cap is on calls to the cloud, and one call rents many.
    double calls =
        facts.cloud().requestsPerSecond() * policy.cyclePeriodMs() / 1000.0 / facts.controllers();
    return new Snapshot(
        now,
        policy.cyclePeriodMs(),
        (long) (2_000 * facts.workers().heartbeatSeconds()),
        RENTAL * (int) Math.max(1, calls),
        oldestFirst,
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
      cores +=
          loop.wallMs() - j.submittedWallMs() <= lately ? j.spec().tasks() * j.spec().cores() : 0;
    }
    return cores;
  }

  /** Jobs that fit into their team's guarantee together with the team's earlier ones. */
  private Set<Job> guaranteed() {
    List<Job> jobs = new ArrayList<>(board.all());
    jobs.sort(Comparator.comparingLong(j -> j.submittedWallMs()));
    double[] cores = new double[facts.teams().size()];
    double[] gpus = new double[cores.length];
    Set<Job> all = new HashSet<>();
    for (Job j : jobs) {
      int open = j.waitingCount() + j.placements().size();
      cores[j.team()] += open * j.spec().cores();
      gpus[j.team()] += open * j.spec().gpus();
      DeploymentSpec.TeamQuota t = facts.teams().get(j.team());
      if (cores[j.team()] <= t.guaranteedCores() + 1e-6
          && gpus[j.team()] <= t.guaranteedGpus() + 1e-6) {
        all.add(j);
      }
    }
    return all;
  }

  private Snapshot.MachineCapacity room(Machine m, List<Placement> on, long now) {
    MachineType t = m.type();
    Snapshot.Size free = new Snapshot.Size(t.cores(), t.gpus(), t.memoryGb());
    List<Snapshot.Running> running = new ArrayList<>();
    for (Placement p : on) {
      Snapshot.Size size = size(p.job());
      free = free.minus(size);
      running.add(
          new Snapshot.Running(
              expectedEnd(p, t, now), size, p.job().spec().urgency().rank(), lostMs(p, now)));
    }
    boolean up = m.usable(now);
    long sinceS = (now - m.requestedMs()) / 1000;
    long ready =
        m.lastHeartbeatMs() >= 0
            ? now + 1_000
            : sinceS > BOOT_LATE * t.bootS()
                ? now + (long) (1000 * BOOT_PATIENCE * t.bootS())
                : Math.max(m.requestedMs() + (long) (1000 * t.bootS()), now + 1_000);
    long block = policy.billingBlockMs();
    // The block in which it went idle (or now, if it is busy) is paid to its end.
    long ref = m.idleSinceMs() >= 0 ? m.idleSinceMs() : now;
    long blocks = Math.max(1, (Math.max(0, ref - m.requestedMs()) + block - 1) / block);
    return new Snapshot.MachineCapacity(
        t.index(),
        m.zone(),
        m.spot(),
        up,
        m.awaitingResponse()
            ? 0
            : Math.max(
                0, m.lastHeartbeatMs() + (long) (1000 * facts.workers().heartbeatSeconds()) - now),
        free,
        ready,
        m.tasks().isEmpty(),
        m.requestedMs() + blocks * block,
        Math.max(m.requestedMs() + block, (m.idleSinceMs() >= 0 ? m.idleSinceMs() : now) + IDLE_MS),
        m.spot() ? t.spotPrice() : t.price(),
        t.fetchGbPerS(),
        m.images(),
        running);
  }

  /** What stopping it at once would lose; -1: it is being stopped, or its state is not known. */
  private static long lostMs(Placement p, long now) {
    if (p.stopping() || (p.inherited() && !p.seen())) {
      return -1;
    }
    long ran = p.runningMs() < 0 ? 0 : now - p.runningMs();
    long step = (long) (1000 * p.job().spec().checkpointS());
    return step > 0 ? ran % step : ran;
  }

  private Snapshot.MachineCapacity pendingRoom(Fleet.Pending p, long now) {
    MachineType t = p.type();
    long ready = Math.max(p.sinceMs() + (long) (1000 * t.bootS()), now + 1_000);
    return new Snapshot.MachineCapacity(
        t.index(),
        p.zone(),
        p.spot(),
        false,
        0,
        new Snapshot.Size(t.cores(), t.gpus(), t.memoryGb()),
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
    return new Snapshot.Size(j.spec().cores(), j.spec().gpus(), j.spec().memoryGb());
  }

  private long expectedEnd(Placement p, MachineType t, long now) {
    if (p.stopping()) {
      return now + (long) (1000 * p.stopGraceS()) + 1_000;
    }
    double e = deadlines.estimateS(p.job());
    if (p.runningMs() < 0) {
      return p.placedMs()
          + (long) (1000 * (e + p.job().spec().imageGb() / Math.max(0.01, t.fetchGbPerS())));
    }
    return p.runningMs() + (long) (1000 * Estimates.corrected(e, (now - p.runningMs()) / 1000.0));
  }

  private Snapshot.PendingJob work(
      Job j, long now, Object2IntOpenHashMap<String> roomOf, Set<Job> guaranteed) {
    boolean[] types = null;
    if (j.spec().types() != null) {
      types = new boolean[catalog.all().size()];
      for (MachineType t : catalog.all()) {
        types[t.index()] = j.spec().types().contains(t.name());
      }
    }
    IntOpenHashSet avoid = new IntOpenHashSet();
    for (String m : j.failedMachines()) {
      if (roomOf.containsKey(m)) {
        avoid.add(roomOf.getInt(m));
      }
    }
    long age = deadlines.ageMs(j);
    double estimateS = deadlines.estimateS(j);
    double startS =
        Math.max(
            facts.objectives().startWithinSeconds().getOrDefault(j.spec().kind(), 0.0),
            guaranteed.contains(j) ? facts.objectives().guaranteedStartSeconds() : 0);
    Deadlines due = deadlines.next(j, age);
    return new Snapshot.PendingJob(
        j.team(),
        j.spec().urgency().rank(),
        size(j),
        types,
        j.spec().zone() == null ? -1 : catalog.zones().index(j.spec().zone()),
        j.spec().together(),
        j.spec().spread(),
        j.spec().spot(),
        images.index(j.spec().image()),
        j.spec().imageGb(),
        j.spec().tasks(),
        j.waitingCount(),
        overdueJobs.placedPerZone(j),
        (long) (1000 * estimateS),
        now - age + (long) (1000 * due.dueS()),
        due.hopeless(),
        guaranteed.contains(j),
        now - age + (long) (1000 * startS),
        age,
        j.begun(),
        OverdueJobs.overdue(j, now),
        zones.displaced(j),
        j.notBeforeMs(),
        avoid);
  }
}
