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
 * Runs a shard's scheduling cycles: takes a snapshot of its jobs and machines, has the planner
 * decide, and carries the decision out.
 */
final class SchedulingLoop implements HeartbeatHandler.SchedulingTrigger {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingLoop.class);

  /** Least time between two cycles on events, and from an event to its cycle. */
  private static final long MIN_EVENT_CYCLE_INTERVAL_MS = 150;

  private static final long MAX_EVENT_CYCLE_INTERVAL_MS = 2_000;

  /** Cycles on events take at most one part in so many of the processor's time. */
  private static final int CYCLE_DURATION_MULTIPLIER = 15;

  /** One cycle in so many serves the longest waiting jobs first. */
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

  /** The last cycle left jobs out. */
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

  /** Events are batched when cycles cost much, unless the last cycle left jobs out. */
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
   * Called at a steady interval: runs the cycle that is due without any event.
   *
   * @param maxIntervalMs time between two cycles at most, where cycles run on events
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

  /** How long the last cycle took. */
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
    List<List<Placement>> running = new ArrayList<>();
    boolean oldestFirst = cycleCount % OLDEST_FIRST_CYCLE_INTERVAL == 0;
    Snapshot snapshot = snapshots.build(nowMs, oldestFirst, jobs, machines, offers, running);
    DecisionTrace trace = LOG.isDebugEnabled() ? DecisionTrace.recording() : DecisionTrace.NONE;
    SchedulingDecision decision = Planner.plan(snapshot, trace);
    logLeftWaiting(trace.leftWaiting(snapshot, decision), jobs);
    preempt(decision, running);
    place(decision, nowMs, jobs, machines);
    // Machines that look idle may be needed by jobs that this cycle left out.
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

  private void logLeftWaiting(List<DecisionTrace.LeftWaiting> leftWaiting, List<Job> jobs) {
    for (DecisionTrace.LeftWaiting waiting : leftWaiting) {
      LOG.debug(
          "tasks left waiting: shard={} job={} obstacles={} outlooks={}",
          state.shard(),
          jobs.get(waiting.job()).spec().uid(),
          waiting.obstacles(),
          waiting.outlooks());
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

  /** One that boots in a zone that is opened again counts, so that it is not requested twice. */
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

  private void preempt(SchedulingDecision decision, List<List<Placement>> running) {
    for (SchedulingDecision.PreemptedTask preempted : decision.preemptions()) {
      Placement placement = running.get(preempted.machine()).get(preempted.task());
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
    for (SchedulingDecision.PlacedTask place : decision.placements()) {
      Job job = jobs.get(place.job());
      Machine machine = machines.get(place.machine());
      machine.add(
          job.place(job.nextWaitingTask(), machine.name(), nowMs, state.token(), cycleCount));
      changed.add(job);
    }
    changed.forEach(state.jobs()::markChanged);
  }
}
