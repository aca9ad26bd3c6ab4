package dev.windbend.shard;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.job.Cancellations;
import dev.windbend.job.Job;
import dev.windbend.job.JobRecord;
import dev.windbend.job.JobRegistry;
import dev.windbend.job.Placement;
import dev.windbend.machine.CloudClient;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineHealth;
import dev.windbend.machine.MachineIndex;
import dev.windbend.machine.MachineTypeCatalog;
import dev.windbend.machine.OrphanedMachine;
import dev.windbend.machine.OrphanedMachines;
import dev.windbend.machine.ScaleOutRecord;
import dev.windbend.peer.MachineRequester;
import dev.windbend.peer.MachineTransferMessages;
import dev.windbend.peer.Peers;
import dev.windbend.plan.Estimates;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.Json;
import dev.windbend.runtime.NameIndex;
import dev.windbend.runtime.ServerResponse;
import dev.windbend.store.Committer;
import dev.windbend.store.PagedStore;
import dev.windbend.store.PendingWrite;
import dev.windbend.store.Replica;
import dev.windbend.store.StoreClient;
import dev.windbend.store.VersionedValue;
import dev.windbend.worker.DirectStopClient;
import dev.windbend.worker.HeartbeatHandler;
import dev.windbend.worker.TaskReconciler;
import dev.windbend.worker.WorkerMessages;
import dev.windbend.zone.ZoneGate;
import dev.windbend.zone.ZoneMetrics;
import dev.windbend.zone.ZoneMonitor;
import dev.windbend.zone.ZoneStatus;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One owned shard: its live jobs and machines, rebuilt from the records when it is won, and the
 * loops that look after them. It acts only while the claim is surely held.
 */
public final class ShardLeader
    implements TaskReconciler.TaskEvents,
        Fleet.Listener,
        HeartbeatHandler.Leadership,
        HeartbeatHandler.SchedulingTrigger {
  private static final Logger LOG = LoggerFactory.getLogger(ShardLeader.class);
  private static final long TICK_MS = 500;

  private final int shard;
  private final long token;
  private final EventLoop loop;
  private final StoreClient store;
  private final Replica replica;
  private final MachineTypeCatalog catalog;
  private final MachineIndex directory;
  private final DeploymentSpec facts;
  private final Policy policy;
  private final LeaderElection election;
  private final Peers peers;
  private final Cancellations cancellations;
  private final NameIndex images;
  private final Committer committer;
  private final PagedStore pages;
  private final JobRegistry board;
  private final Fleet fleet;
  private final OrphanedMachines orphanedMachines;
  private final MachineHealth watch;
  private final MachineTransfers loans;
  private final FailoverRampUp gradualStart;
  private final JobDeadlines deadlines;
  private final TaskFailures failures;

  /** Null: zones are not looked after. */
  private final ZoneMonitor zoneMonitor;

  private final ZoneGate zones;
  private final SchedulingLoop rounds;
  private final HeartbeatHandler reports;
  private final ShardStatusLog log;
  private boolean ready;
  private boolean closed;
  private boolean checkedInherited;
  private long startedMs;
  private long lastCheckMs;
  private long sureSinceMs = -1;

  /** What all shards of a node share. */
  public record Shared(
      EventLoop loop,
      StoreClient store,
      CloudClient cloud,
      Replica replica,
      ShardLayout layout,
      MachineTypeCatalog catalog,
      MachineIndex directory,
      DeploymentSpec facts,
      Policy policy,
      LeaderElection election,
      Peers peers,
      Cancellations cancellations,
      DirectStopClient directStops,
      Estimates estimates,
      NameIndex images,
      MachineRequester transferRequester,
      String ownZone,
      ZoneMetrics zoneMetrics) {}

  public ShardLeader(int shard, long token, Shared with) {
    this.shard = shard;
    this.token = token;
    this.loop = with.loop;
    this.store = with.store;
    this.replica = with.replica;
    this.catalog = with.catalog;
    this.directory = with.directory;
    this.facts = with.facts;
    this.policy = with.policy;
    this.election = with.election;
    this.peers = with.peers;
    this.cancellations = with.cancellations;
    this.images = with.images;
    this.committer =
        new Committer(
            loop,
            with.store,
            ShardLeaderRecord.key(shard),
            token,
            facts.writeIntervalMs(with.layout.shards()),
            () -> election.stepDown(shard),
            this::afterWrite);
    this.pages =
        new PagedStore(JobRecord.pages(shard), facts.store().valueBytes(), with.store.opsLimit());
    this.board = new JobRegistry(name -> teamHere(with.layout, name), committer, pages);
    this.fleet = new Fleet(loop, with.cloud, catalog, shard, token, this);
    this.orphanedMachines = new OrphanedMachines(loop, with.store, fleet, with.layout.shards());
    this.watch =
        new MachineHealth(
            fleet,
            catalog.zones().size(),
            facts.workers().heartbeatSeconds(),
            facts.workers().leaseSeconds());
    this.loans =
        new MachineTransfers(
            shard, loop, fleet, guaranteedCores(with.layout), with.transferRequester);
    OverdueJobs overdueJobs = new OverdueJobs(catalog, facts, board, fleet);
    this.deadlines = new JobDeadlines(loop, catalog, facts, policy, with.estimates);
    this.zoneMonitor = policy.zones().enabled() ? zoneMonitor(with) : null;
    this.zones = zoneMonitor == null ? ZoneGate.OPEN : zoneMonitor;
    SnapshotBuilder snapshots =
        new SnapshotBuilder(
            loop, catalog, facts, policy, deadlines, images, board, fleet, overdueJobs, zones);
    this.gradualStart = new FailoverRampUp(loop, facts.workers().heartbeatSeconds());
    this.rounds =
        new SchedulingLoop(
            loop,
            catalog,
            policy,
            snapshots,
            overdueJobs,
            board,
            fleet,
            loans,
            token,
            gradualStart,
            zones,
            this::mayAct);
    this.failures = new TaskFailures(loop, board, fleet, rounds::want);
    this.reports =
        new HeartbeatHandler(
            loop,
            fleet,
            new TaskReconciler(this),
            with.directStops,
            this,
            this,
            token,
            facts.workers().heartbeatSeconds(),
            facts.workers().leaseSeconds(),
            policy.idleHoldFraction());
    this.log =
        new ShardStatusLog(
            shard,
            loop,
            board,
            fleet,
            facts,
            overdueJobs,
            zones,
            policy.cyclePeriodMs(),
            rounds,
            pages);
  }

  private ZoneMonitor zoneMonitor(Shared with) {
    ZoneMonitor.Place place =
        new ZoneMonitor.Place(
            shard,
            with.layout.shards(),
            with.ownZone,
            facts.workers().heartbeatSeconds(),
            facts.workers().leaseSeconds());
    return new ZoneMonitor(
        place,
        policy.zones(),
        loop,
        fleet,
        watch,
        board,
        deadlines,
        new ZoneMonitor.Records(replica::get, committer::touch),
        with.zoneMetrics);
  }

  private int teamHere(ShardLayout layout, String name) {
    int team = layout.team(name);
    return team >= 0 && layout.shardOf(team) == shard ? team : -1;
  }

  private double guaranteedCores(ShardLayout layout) {
    double all = 0;
    for (int i = 0; i < facts.teams().size(); i++) {
      all += layout.shardOf(i) == shard ? facts.teams().get(i).guaranteedCores() : 0;
    }
    return all;
  }

  /** Waits until the mirror shows all that former owners can have written, then takes over. */
  public void start() {
    if (closed) {
      return;
    }
    if (replica.revision() < token || !catalog.known()) {
      loop.after(20, this::start);
      return;
    }
    long now = loop.nowMs();
    String hires = ScaleOutRecord.prefix(shard);
    for (Map.Entry<String, VersionedValue> e : replica.below(hires).entrySet()) {
      hire(e.getKey().substring(hires.length()), e.getValue());
    }
    SortedMap<String, JsonNode> left = pages.restore(replica.below(JobRecord.pages(shard)));
    for (Map.Entry<String, VersionedValue> e : replica.below(JobRecord.LIVE).entrySet()) {
      take(e.getValue(), left, now);
    }
    pages.allRestored();
    if (zoneMonitor != null) {
      zoneMonitor.takeOver(catalog.zones());
    }
    ready = true;
    LOG.info(
        "shard {} taken over with token {}: {} jobs, {} machines",
        shard,
        token,
        board.all().size(),
        fleet.machines().size());
    startedMs = now;
    lastCheckMs = now;
    gradualStart.takenOver();
    tick();
  }

  public void close() {
    closed = true;
    committer.close();
    fleet.close();
    orphanedMachines.close();
    reports.close();
  }

  public boolean ready() {
    return ready && !closed;
  }

  public int liveJobs() {
    return board.all().size();
  }

  /** How old the oldest job with tasks that wait is, 0: none. */
  public int oldestWaitSeconds() {
    return log.oldestWaitS();
  }

  public int machineCount() {
    return fleet.machines().size();
  }

  /** How the zones stand, if they are looked after. */
  public List<ZoneStatus> zones() {
    return zoneMonitor == null ? List.of() : zoneMonitor.status();
  }

  // ---- jobs

  private boolean take(VersionedValue s, SortedMap<String, JsonNode> left, long now) {
    Job job = board.take(s, left, now);
    if (job == null) {
      return false;
    }
    for (Placement p : List.copyOf(job.placements())) {
      Machine m = fleet.find(p.machineName());
      if (m != null) {
        m.add(p);
      } else {
        // Its record went only after the cloud had confirmed its end, or once it was empty.
        job.gone(p);
      }
    }
    if (job.cancelled() || cancellations.ahead(job.spec().uid())) {
      job.cancel();
    }
    board.touched(job);
    return true;
  }

  /** A live job's record has changed in the state service. */
  public void jobChanged(String uid, VersionedValue now) {
    if (!ready()) {
      return;
    }
    Job job = board.find(uid);
    if (job == null) {
      if (now != null && take(now, Collections.emptySortedMap(), loop.nowMs())) {
        rounds.want();
      }
      return;
    }
    if (now == null) {
      // Ended, and it never comes back. Old news of it may have come after we had written its end
      // and forgotten it: without this it would stay, with a write that fails for ever.
      forget(job);
      return;
    }
    JobRecord.Live r = Json.read(now.value(), JobRecord.Live.class);
    if (r != null) {
      boolean before = job.cancelled();
      job.changed(r, now.version());
      if (job.cancelled() && !before) {
        cancelled(job);
      }
    }
  }

  /** Confirmed to its user, though the mirror may not show it yet. */
  public void cancel(String uid) {
    Job job = ready() ? board.find(uid) : null;
    if (job != null && !job.cancelled()) {
      job.cancel();
      cancelled(job);
    }
  }

  private void cancelled(Job job) {
    LOG.info("{} is cancelled", job.spec().uid());
    reports.cancelled(job);
    board.touched(job);
    rounds.want();
  }

  private void forget(Job job) {
    board.forget(job);
    if (job.doneCount() == 0) {
      fleet.machines().forEach(m -> m.forgetFailedJob(job.spec().uid()));
    }
    for (Placement p : job.placements()) {
      Machine m = fleet.find(p.machineName());
      if (m != null) {
        m.remove(p, loop.nowMs());
      }
    }
  }

  // ---- machines

  /** A record of machines has changed: another shard may have given us some. */
  public void machinesChanged(String key, VersionedValue now) {
    String hires = ScaleOutRecord.prefix(shard);
    if (ready() && now != null && key.startsWith(hires)) {
      hire(key.substring(hires.length()), now);
      rounds.want();
    }
  }

  private void hire(String name, VersionedValue s) {
    ScaleOutRecord r = Json.read(s.value(), ScaleOutRecord.class);
    if (r != null) {
      fleet.restore(name, r, s.version(), directory, !ready);
    }
  }

  public boolean hasMachine(String machine) {
    return fleet.find(machine) != null;
  }

  /** A machine that no shard knows; only the first shard's owner takes them in. */
  public void noteOrphan(WorkerMessages.Heartbeat r) {
    if (ready() && mayAct()) {
      orphanedMachines.note(r.machine(), new OrphanedMachine(r.type(), r.zone(), r.spot()));
    }
  }

  public void handleHeartbeat(WorkerMessages.Heartbeat r, Consumer<ServerResponse> done) {
    reports.report(r, done);
  }

  /** Lends to another shard; says what is coming. */
  public MachineTransferMessages.Reply transfer(int to, MachineTransferMessages.Request request) {
    return mayAct() ? loans.transfer(to, request) : MachineTransferMessages.Reply.NONE;
  }

  // ---- what the slices need

  @Override
  public Job findJob(String uid) {
    return board.find(uid);
  }

  @Override
  public boolean isCancelled(String uid) {
    Job job = board.find(uid);
    return (job != null && job.cancelled()) || cancellations.ahead(uid);
  }

  @Override
  public void jobChanged(Job job) {
    board.touched(job);
  }

  @Override
  public void taskCompleted(Placement p, long nowMs) {
    if (p.runningMs() >= 0) {
      deadlines.finished(p.job(), (nowMs - p.runningMs()) / 1000.0);
    }
  }

  @Override
  public void taskFailed(Placement p, Machine m) {
    failures.failed(p, m);
  }

  @Override
  public int imageIndex(String name) {
    return images.index(name);
  }

  @Override
  public void recordChanged(PendingWrite record) {
    committer.touch(record);
  }

  @Override
  public void machineGone(Machine m) {
    long now = loop.nowMs();
    if (zoneMonitor != null) {
      zoneMonitor.gone(m);
    }
    for (Placement p : List.copyOf(m.tasks().values())) {
      m.remove(p, now);
      p.job().gone(p);
      board.touched(p.job());
    }
    rounds.want();
  }

  @Override
  public void fleetChanged() {
    rounds.want();
  }

  @Override
  public void requestCycle() {
    rounds.want();
  }

  @Override
  public void runCycleNow() {
    rounds.now();
  }

  @Override
  public boolean mayAct() {
    return ready() && election.isLeader(shard) && election.leaseSurelyValid();
  }

  @Override
  public boolean mayKeepWorkers() {
    return peers.mayKeepWorkers();
  }

  private void afterWrite() {
    board.archived().forEach(this::forget);
    fleet.afterWrite();
    reports.answerWaiting();
  }

  // ---- again and again

  private void tick() {
    if (closed) {
      return;
    }
    long now = loop.nowMs();
    if (mayAct()) {
      if (sureSinceMs < 0) {
        sureSinceMs = now;
      }
      if (watch.lostWorkers(now, Math.max(sureSinceMs, election.lastWorkerContactMs()))) {
        election.yield(shard);
      }
      if (zoneMonitor != null) {
        zoneMonitor.look(now, sureSinceMs);
      }
      watch.look(now, sureSinceMs, zones::evacuates);
      for (Job job : board.all()) {
        if (job.cancelled() && job.over()) {
          board.touched(job);
        }
      }
      loans.tick(now);
      fleet.pursue();
      rounds.tick(2 * TICK_MS);
      committer.run();
      log.tick(now);
      if (!checkedInherited && now - startedMs >= 2_500 * facts.cloud().listLagSeconds()) {
        checkedInherited = true;
        fleet.checkInherited();
      }
      if (shard == 0 && now - lastCheckMs >= 2_000 * facts.cloud().listLagSeconds()) {
        lastCheckMs = now;
        fleet.check(
            (long) (8_000 * facts.cloud().listLagSeconds()),
            directory::knows,
            orphanedMachines::note);
      }
    } else {
      sureSinceMs = -1;
      log.unsure(now, store.failingForMs());
    }
    loop.after(TICK_MS, this::tick);
  }
}
