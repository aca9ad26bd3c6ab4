package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.job.Placement;
import dev.windbend.machine.Machine;
import dev.windbend.plan.DecisionTrace;
import dev.windbend.plan.InstanceOffer;
import dev.windbend.plan.Planner;
import dev.windbend.plan.SchedulingDecision;
import dev.windbend.plan.Snapshot;
import dev.windbend.runtime.EventLoop;
import dev.windbend.worker.HeartbeatHandler;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a shard's scheduling cycles. A cycle builds a snapshot of the shard's jobs and machines,
 * passes it to the planner, and applies the planner's decision.
 */
final class SchedulingLoop implements HeartbeatHandler.SchedulingTrigger {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingLoop.class);

  /** Minimum time between two event-driven cycles, and from an event to its cycle. */
  private static final long MIN_EVENT_CYCLE_INTERVAL_MS = 150;

  private static final long MAX_EVENT_CYCLE_INTERVAL_MS = 2_000;

  /**
   * The interval between event-driven cycles is at least this multiple of the last cycle's
   * duration, up to the maximum interval, which limits the share of processor time that cycles
   * take.
   */
  private static final int CYCLE_DURATION_MULTIPLIER = 15;

  /** One in this number of cycles serves the jobs that have waited longest first. */
  private static final int OLDEST_FIRST_CYCLE_INTERVAL = 4;

  private final EventLoop loop;
  private final Policy policy;
  private final ShardState state;
  private final SnapshotBuilder snapshots;
  private final CapacityProvisioner capacity;
  private final FailoverRampUp rampUp;
  private final BooleanSupplier mayAct;
  private long lastCycleMs;
  private long lastCycleDurationMs;
  private long cycleCount;
  private boolean cycleRequested;

  /** Whether the last cycle omitted jobs because of the limit after a failover. */
  private boolean lastCyclePartial;

  SchedulingLoop(
      EventLoop loop,
      Policy policy,
      ShardState state,
      SnapshotBuilder snapshots,
      CapacityProvisioner capacity,
      FailoverRampUp rampUp,
      BooleanSupplier mayAct) {
    this.loop = loop;
    this.policy = policy;
    this.state = state;
    this.snapshots = snapshots;
    this.capacity = capacity;
    this.rampUp = rampUp;
    this.mayAct = mayAct;
    this.lastCycleMs = loop.nowMs();
  }

  @Override
  public void requestCycle() {
    if (!cycleRequested) {
      cycleRequested = true;
      if (policy.eventDrivenCycles()) {
        loop.after(MIN_EVENT_CYCLE_INTERVAL_MS, this::runRequestedCycle);
      }
    }
  }

  @Override
  public void runCycleNow() {
    if (!policy.eventDrivenCycles() || loop.nowMs() - lastCycleMs < eventCycleIntervalMs()) {
      requestCycle();
    } else {
      runCycle();
    }
  }

  /** Batches events for longer if cycles are slow, unless the last cycle omitted jobs. */
  private long eventCycleIntervalMs() {
    long multiplier = lastCyclePartial ? 1 : CYCLE_DURATION_MULTIPLIER;
    return Math.min(
        MAX_EVENT_CYCLE_INTERVAL_MS,
        Math.max(MIN_EVENT_CYCLE_INTERVAL_MS, multiplier * lastCycleDurationMs));
  }

  private void runRequestedCycle() {
    long waitMs = eventCycleIntervalMs() - (loop.nowMs() - lastCycleMs);
    if (cycleRequested && waitMs > 0) {
      loop.after(waitMs, this::runRequestedCycle);
    } else if (cycleRequested) {
      runCycle();
    }
  }

  /**
   * Runs a cycle if the time since the last one has reached the maximum. Called periodically.
   *
   * @param maxIntervalMs maximum time between two cycles if cycles are event-driven; extended if
   *     cycles are slow
   */
  void runIfDue(long maxIntervalMs) {
    long intervalMs =
        policy.eventDrivenCycles()
            ? Math.max(maxIntervalMs, eventCycleIntervalMs())
            : policy.cyclePeriodMs();
    if (loop.nowMs() - lastCycleMs >= intervalMs) {
      runCycle();
    }
  }

  /** How long the last cycle took, in milliseconds; 0 before the first one. */
  long lastCycleDurationMs() {
    return lastCycleDurationMs;
  }

  private void runCycle() {
    cycleRequested = false;
    if (!mayAct.getAsBoolean() || !rampUp.maySchedule(this::allInheritedMachinesConfirmed)) {
      return;
    }
    long nowMs = loop.nowMs();
    lastCycleMs = nowMs;
    cycleCount++;
    List<Job> waiting = waitingJobs();
    List<Job> jobs = rampUp.nextCycleJobs(waiting);
    lastCyclePartial = jobs.size() < waiting.size();
    List<Machine> machines = schedulableMachines(nowMs);
    List<InstanceOffer> offers = capacity.offers();
    List<List<Placement>> runningTasks = new ArrayList<>();
    boolean oldestFirst = cycleCount % OLDEST_FIRST_CYCLE_INTERVAL == 0;
    Snapshot snapshot = snapshots.build(nowMs, oldestFirst, jobs, machines, offers, runningTasks);
    DecisionTrace trace = LOG.isDebugEnabled() ? DecisionTrace.recording() : DecisionTrace.NONE;
    SchedulingDecision decision = Planner.plan(snapshot, trace);
    logUnplacedTasks(trace.leftWaiting(snapshot, decision), jobs);
    preempt(decision, runningTasks);
    place(decision, nowMs, jobs, machines);
    // Machines that are idle in this decision may be needed by jobs that this cycle omitted.
    capacity.offerForTransfer(lastCyclePartial ? List.of() : decision.idleMachines(), machines);
    capacity.acquire(decision, offers, nowMs);
    if (!lastCyclePartial) {
      capacity.scaleIn(decision, machines);
    }
    lastCycleDurationMs = loop.nowMs() - nowMs;
    if (lastCyclePartial) {
      requestCycle();
    }
  }

  private void logUnplacedTasks(List<DecisionTrace.LeftWaiting> leftWaiting, List<Job> jobs) {
    for (DecisionTrace.LeftWaiting unplaced : leftWaiting) {
      LOG.debug(
          "tasks not placed: shard={} job={} obstacles={} outlooks={}",
          state.shard(),
          jobs.get(unplaced.job()).spec().uid(),
          unplaced.obstacles(),
          unplaced.outlooks());
    }
  }

  private List<Job> waitingJobs() {
    List<Job> waiting = new ArrayList<>();
    for (Job job : state.jobs().all()) {
      if (job.waitingCount() > 0) {
        waiting.add(job);
      }
    }
    return waiting;
  }

  private List<Machine> schedulableMachines(long nowMs) {
    List<Machine> machines = new ArrayList<>();
    for (Machine machine : state.fleet().machines()) {
      if (inUsableZone(machine)
          && !machine.terminating()
          && !machine.cordoned()
          && machine.liveness().missedResponses() == 0
          && nowMs >= machine.startsRefusedUntilMs()) {
        machines.add(machine);
      }
    }
    return machines;
  }

  /**
   * Whether the zone permits tasks on the machine. A booting machine also counts in a zone that is
   * being reopened (closed, but no longer evacuated), so that it is not requested a second time.
   */
  private boolean inUsableZone(Machine machine) {
    return !machine.zoneClosed()
        || (machine.lastHeartbeatMs() < 0 && !state.zones().isEvacuated(machine.zone()));
  }

  private boolean allInheritedMachinesConfirmed() {
    for (Machine machine : state.fleet().machines()) {
      if (machine.inherited() && !machine.confirmedUnderToken()) {
        return false;
      }
    }
    return true;
  }

  private void preempt(SchedulingDecision decision, List<List<Placement>> runningTasks) {
    for (SchedulingDecision.PreemptedTask preempted : decision.preemptions()) {
      Placement placement = runningTasks.get(preempted.machine()).get(preempted.task());
      LOG.info(
          "task preempted: shard={} machine={} task={} token={} cause=\"more urgent job\"",
          state.shard(),
          placement.machineName(),
          placement.taskName(),
          state.token());
      placement.requestStop(0);
    }
  }

  private void place(
      SchedulingDecision decision, long nowMs, List<Job> jobs, List<Machine> machines) {
    Set<Job> changed = new LinkedHashSet<>();
    for (SchedulingDecision.PlacedTask placed : decision.placements()) {
      Job job = jobs.get(placed.job());
      Machine machine = machines.get(placed.machine());
      machine.add(
          job.place(job.nextWaitingTask(), machine.name(), nowMs, state.token(), cycleCount));
      changed.add(job);
    }
    changed.forEach(state.jobs()::markChanged);
  }
}
