package dev.windbend.shard;

import dev.windbend.job.JobRecord;
import dev.windbend.job.JobRegistry;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineHealth;
import dev.windbend.machine.OrphanedMachines;
import dev.windbend.runtime.EventLoop;
import dev.windbend.store.GroupCommitter;
import dev.windbend.store.PagedStore;
import dev.windbend.store.PendingWrite;
import dev.windbend.worker.HeartbeatHandler;
import dev.windbend.worker.HeartbeatTiming;
import dev.windbend.worker.TaskReconciler;

/**
 * Creates and connects the services that lead one shard. A service is created after the services
 * that it calls. Results of writes and events of the fleet reach services created later through
 * callbacks of this class.
 */
final class ShardServices {
  private final ShardContext context;
  final ShardLeadership leadership;
  final GroupCommitter committer;
  final PagedStore pages;
  final JobRegistry registry;
  final Fleet fleet;
  final OrphanedMachines orphanedMachines;
  final MachineTransfers transfers;
  final JobDeadlines deadlines;
  final ShardZones zones;
  final FailoverRampUp rampUp;
  final SchedulingLoop scheduling;
  final HeartbeatHandler heartbeats;
  final ShardStatusLog statusLog;
  final ShardJobs jobs;
  final ShardMachines machines;
  final ReconciliationLoop reconciliation;
  final ShardFailover failover;

  /**
   * Creates the services for one term; none is started yet.
   *
   * @param token the fencing token with which the controller was elected
   */
  ShardServices(int shard, long token, ShardContext context) {
    this.context = context;
    ShardContext.Coordination coordination = context.coordination();
    EventLoop loop = context.loop();
    this.leadership =
        new ShardLeadership(shard, token, coordination.election(), coordination.outageDetector());
    this.committer = newCommitter();
    this.pages = newPages();
    this.registry =
        new JobRegistry(name -> context.layout().teamIndexInShard(name, shard), committer, pages);
    this.fleet = newFleet();
    this.orphanedMachines =
        new OrphanedMachines(loop, coordination.store(), fleet, context.layout().shardCount());
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
    this.failover = newFailover();
  }

  private GroupCommitter newCommitter() {
    return new GroupCommitter(
        context.loop(),
        context.coordination().store(),
        ShardLeaderRecord.key(leadership.shard()),
        leadership.token(),
        context.deployment().minWriteIntervalMs(context.layout().shardCount()),
        leadership::stepDown,
        this::afterWrite);
  }

  private PagedStore newPages() {
    return new PagedStore(
        JobRecord.pagesPrefix(leadership.shard()),
        context.deployment().store().maxValueBytes(),
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
            context.deployment().cloud().maxListLagSeconds());
    return new ReconciliationLoop(
        leadership,
        context.loop(),
        context.coordination().store(),
        statusLog,
        new ReconciliationLoop.Components(
            zones, health, jobs, transfers, fleet, scheduling, committer, cloudList));
  }

  private ShardFailover newFailover() {
    return new ShardFailover(
        leadership,
        context.loop(),
        context.coordination().replica(),
        context.machines().catalog(),
        pages,
        machines,
        jobs);
  }

  private void afterWrite() {
    jobs.removeEnded();
    fleet.afterWrite();
    heartbeats.respondToHeldHeartbeats();
  }

  /** Forwards the fleet's events to the services that handle them. */
  private final class FleetListener implements Fleet.Listener {
    @Override
    public void recordChanged(PendingWrite record) {
      committer.enqueue(record);
    }

    @Override
    public void machineTerminated(Machine machine) {
      machines.onMachineTerminated(machine);
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
