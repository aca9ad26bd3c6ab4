package dev.windbend.shard;

import dev.windbend.job.JobRecord;
import dev.windbend.job.JobRegistry;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineHealth;
import dev.windbend.machine.OrphanedMachines;
import dev.windbend.peer.MachineTransferMessages;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.ServerResponse;
import dev.windbend.store.GroupCommitter;
import dev.windbend.store.PagedStore;
import dev.windbend.store.PendingWrite;
import dev.windbend.store.VersionedValue;
import dev.windbend.worker.HeartbeatHandler;
import dev.windbend.worker.HeartbeatTiming;
import dev.windbend.worker.TaskReconciler;
import dev.windbend.worker.WorkerMessages;
import dev.windbend.zone.ZoneStatus;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A shard that this controller leads, for one term: wires what looks after its jobs and machines,
 * and takes to it what comes from outside.
 */
public final class ShardLeader {
  private static final Logger LOG = LoggerFactory.getLogger(ShardLeader.class);

  private final ShardContext context;
  private final ShardLeadership leadership;
  private final GroupCommitter committer;
  private final PagedStore pages;
  private final JobRegistry registry;
  private final Fleet fleet;
  private final OrphanedMachines orphanedMachines;
  private final MachineTransfers transfers;
  private final JobDeadlines deadlines;
  private final ShardZones zones;
  private final FailoverRampUp rampUp;
  private final SchedulingLoop scheduling;
  private final HeartbeatHandler heartbeats;
  private final ShardStatusLog statusLog;
  private final ShardJobs jobs;
  private final ShardMachines machines;
  private final ReconciliationLoop reconciliation;

  /**
   * Makes a leader that begins with {@link #start}.
   *
   * @param token the fencing token that the controller was elected with
   */
  public ShardLeader(int shard, long token, ShardContext context) {
    this.context = context;
    ShardContext.Coordination coordination = context.coordination();
    EventLoop loop = context.loop();
    this.leadership =
        new ShardLeadership(shard, token, coordination.election(), coordination.outageDetector());
    this.committer = newCommitter();
    this.pages = newPages();
    this.registry =
        new JobRegistry(name -> context.layout().teamInShard(name, shard), committer, pages);
    this.fleet = newFleet();
    this.orphanedMachines =
        new OrphanedMachines(loop, coordination.store(), fleet, context.layout().shards());
    MachineHealth health = newMachineHealth();
    this.transfers = newTransfers();
    this.deadlines = newDeadlines();
    this.zones = ShardZones.create(context, shard, fleet, health, registry, deadlines, committer);
    ShardState state = newShardState();
    StarvedJobs starvedJobs = new StarvedJobs(state, context.deployment());
    this.rampUp = new FailoverRampUp(loop, context.deployment().workers().heartbeatSeconds());
    this.scheduling = newScheduling(state, starvedJobs);
    this.heartbeats = newHeartbeatHandler();
    this.statusLog = newStatusLog(state, starvedJobs);
    this.jobs =
        new ShardJobs(
            leadership,
            loop,
            registry,
            fleet,
            coordination.cancellations(),
            heartbeats,
            scheduling);
    this.machines = newMachines();
    this.reconciliation = newReconciliation(health);
  }

  private GroupCommitter newCommitter() {
    return new GroupCommitter(
        context.loop(),
        context.coordination().store(),
        ShardLeaderRecord.key(leadership.shard()),
        leadership.token(),
        context.deployment().writeIntervalMs(context.layout().shards()),
        leadership::stepDown,
        this::afterWrite);
  }

  private PagedStore newPages() {
    return new PagedStore(
        JobRecord.pages(leadership.shard()),
        context.deployment().store().valueBytes(),
        context.coordination().store().maxWritesPerTransaction());
  }

  private Fleet newFleet() {
    return new Fleet(
        context.loop(),
        context.machines().cloud(),
        context.machines().catalog(),
        leadership.shard(),
        leadership.token(),
        new FleetListener());
  }

  private MachineHealth newMachineHealth() {
    DeploymentSpec.WorkerTiming workers = context.deployment().workers();
    return new MachineHealth(
        fleet,
        context.machines().catalog().zones().size(),
        workers.heartbeatSeconds(),
        workers.leaseSeconds());
  }

  private MachineTransfers newTransfers() {
    return new MachineTransfers(
        leadership.shard(),
        context.loop(),
        fleet,
        context.deployment().guaranteedCores(context.layout(), leadership.shard()),
        context.coordination().machineRequester());
  }

  private JobDeadlines newDeadlines() {
    return new JobDeadlines(
        context.loop(),
        context.machines().catalog(),
        context.deployment(),
        context.policy(),
        context.estimates());
  }

  private ShardState newShardState() {
    return new ShardState(
        leadership.shard(),
        leadership.token(),
        registry,
        fleet,
        context.machines().catalog(),
        context.machines().images(),
        zones.availability());
  }

  private SchedulingLoop newScheduling(ShardState state, StarvedJobs starvedJobs) {
    SnapshotBuilder snapshots =
        new SnapshotBuilder(
            context.loop(), state, context.deployment(), context.policy(), deadlines, starvedJobs);
    CapacityProvisioner capacity =
        new CapacityProvisioner(context.loop(), state, starvedJobs, transfers, leadership::mayAct);
    return new SchedulingLoop(
        context.loop(), context.policy(), state, snapshots, capacity, rampUp, leadership::mayAct);
  }

  private HeartbeatHandler newHeartbeatHandler() {
    TaskFailures failures =
        new TaskFailures(
            leadership.shard(), context.loop(), registry, fleet, scheduling::requestCycle);
    TaskOutcomes outcomes =
        new TaskOutcomes(
            registry,
            context.coordination().cancellations(),
            context.machines().images(),
            deadlines,
            failures);
    return new HeartbeatHandler(
        context.loop(),
        fleet,
        new TaskReconciler(outcomes),
        context.machines().directStops(),
        leadership,
        scheduling,
        leadership.token(),
        HeartbeatTiming.of(
            context.deployment().workers().heartbeatSeconds(),
            context.deployment().workers().leaseSeconds(),
            context.policy().idleHoldFraction()));
  }

  private ShardStatusLog newStatusLog(ShardState state, StarvedJobs starvedJobs) {
    return new ShardStatusLog(
        context.loop(),
        state,
        context.deployment(),
        starvedJobs,
        context.policy().cyclePeriodMs(),
        scheduling,
        pages);
  }

  private ShardMachines newMachines() {
    return new ShardMachines(
        leadership,
        context.loop(),
        context.machines().index(),
        fleet,
        orphanedMachines,
        registry,
        zones,
        scheduling);
  }

  private ReconciliationLoop newReconciliation(MachineHealth health) {
    CloudListCheck cloudList =
        new CloudListCheck(
            leadership.shard(),
            fleet,
            context.machines().index(),
            orphanedMachines,
            context.deployment().cloud().listLagSeconds());
    return new ReconciliationLoop(
        leadership,
        context.loop(),
        context.coordination().store(),
        statusLog,
        new ReconciliationLoop.Duties(
            zones, health, jobs, transfers, fleet, scheduling, committer, cloudList));
  }

  /** Takes the shard over as soon as the replica shows all that former leaders can have written. */
  public void start() {
    new ShardFailover(
            leadership,
            context.loop(),
            context.coordination().replica(),
            context.machines().catalog(),
            pages,
            machines,
            jobs)
        .run(this::lead);
  }

  private void lead(long nowMs) {
    zones.takeOver(context.machines().catalog().zones());
    leadership.recordsTakenOver();
    LOG.info(
        "shard taken over: shard={} token={} jobs={} machines={}",
        leadership.shard(),
        leadership.token(),
        liveJobs(),
        machineCount());
    rampUp.takenOver();
    reconciliation.start(nowMs);
  }

  /** Ends the term: nothing is written or ordered any more, and answers held back are 503. */
  public void close() {
    leadership.end();
    committer.close();
    fleet.close();
    orphanedMachines.close();
    heartbeats.close();
  }

  /** Whether the shard's jobs and machines are known, and the term has not ended. */
  public boolean ready() {
    return leadership.ready();
  }

  /** How many live jobs the shard has. */
  public int liveJobs() {
    return registry.all().size();
  }

  /** The age of the oldest job of which tasks wait, when it was last logged; 0: none waits. */
  public int oldestWaitSeconds() {
    return statusLog.oldestWaitSeconds();
  }

  /** How many machines the shard has, those that are booting or leaving included. */
  public int machineCount() {
    return fleet.machines().size();
  }

  /** The state of each zone that is monitored. */
  public List<ZoneStatus> zones() {
    return zones.status();
  }

  /**
   * A live job's record has changed in the state service.
   *
   * @param record null: it is gone
   */
  public void jobRecordChanged(String uid, VersionedValue record) {
    jobs.recordChanged(uid, record);
  }

  /** A cancellation was confirmed to the user, though the replica may not show it yet. */
  public void cancel(String uid) {
    jobs.cancel(uid);
  }

  /**
   * A record of machines has changed in the state service.
   *
   * @param record null: it is gone
   */
  public void machineRecordChanged(String key, VersionedValue record) {
    machines.recordChanged(key, record);
  }

  /** Whether the machine is of this shard. */
  public boolean hasMachine(String machine) {
    return machines.has(machine);
  }

  /** A heartbeat came from a machine that no shard has on record; only the first shard adopts. */
  public void noteOrphan(WorkerMessages.Heartbeat heartbeat) {
    machines.noteOrphan(heartbeat);
  }

  /**
   * Takes in a heartbeat of one of the shard's machines.
   *
   * @param done called once with the answer, which may wait for work or for a write
   */
  public void handleHeartbeat(WorkerMessages.Heartbeat heartbeat, Consumer<ServerResponse> done) {
    heartbeats.handle(heartbeat, done);
  }

  /** Transfers machines to another shard, as many as can be spared. */
  public MachineTransferMessages.Reply transfer(
      int toShard, MachineTransferMessages.Request request) {
    return leadership.mayAct()
        ? transfers.transfer(toShard, request)
        : MachineTransferMessages.Reply.NONE;
  }

  private void afterWrite() {
    jobs.forgetEnded();
    fleet.afterWrite();
    heartbeats.respondToHeld();
  }

  /** Takes the fleet's events to where they count. */
  private final class FleetListener implements Fleet.Listener {
    @Override
    public void recordChanged(PendingWrite record) {
      committer.enqueue(record);
    }

    @Override
    public void machineGone(Machine machine) {
      machines.machineGone(machine);
    }

    @Override
    public void fleetChanged() {
      scheduling.requestCycle();
    }

    @Override
    public boolean mayAct() {
      return leadership.mayAct();
    }
  }
}
