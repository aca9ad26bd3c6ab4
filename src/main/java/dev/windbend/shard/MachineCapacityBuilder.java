package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.job.Placement;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.HeartbeatTaskLimit;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineType;
import dev.windbend.plan.MachineAttributes;
import dev.windbend.plan.MachineCapacity;
import dev.windbend.plan.Resources;
import dev.windbend.plan.RunTimeEstimates;
import dev.windbend.plan.RunningTask;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds the planner's view of machines: free resources, running tasks with their expected ends,
 * and the times from which a machine may be returned to the cloud.
 */
final class MachineCapacityBuilder {
  /**
   * A machine in excess of the reserve is returned to the cloud only after it has been idle for
   * this time.
   */
  private static final long MIN_IDLE_BEFORE_SCALE_IN_MS = 10_000;

  /**
   * Minimum delay until an expected event, such as the end of a boot or of a stopped task; it also
   * applies to events that are already overdue.
   */
  private static final long MIN_EXPECTED_DELAY_MS = 1_000;

  /**
   * A machine that has been booting for more than this multiple of its type's boot time may never
   * become ready.
   */
  private static final double LATE_BOOT_FACTOR = 1.5;

  /**
   * A machine whose boot is that late is expected to become ready after this multiple of its type's
   * boot time, counted from now.
   */
  private static final double LATE_BOOT_REMAINING_FACTOR = 2.5;

  private static final double MIN_FETCH_GB_PER_SECOND = 0.01;

  private static final long NOT_STOPPABLE = -1;

  private final DeploymentSpec deployment;
  private final Policy policy;
  private final JobDeadlines deadlines;

  MachineCapacityBuilder(DeploymentSpec deployment, Policy policy, JobDeadlines deadlines) {
    this.deployment = deployment;
    this.policy = policy;
    this.deadlines = deadlines;
  }

  /**
   * Builds the planner's view of a machine of the shard.
   *
   * @param tasks the machine's tasks that still use its capacity
   * @param nowMs monotonic clock
   */
  MachineCapacity fromMachine(Machine machine, List<Placement> tasks, long nowMs) {
    MachineType type = machine.type();
    // The tasks in the list do not include all that the worker may have to list.
    Resources free = resources(type, machine.freeTaskSlots());
    List<RunningTask> running = new ArrayList<>();
    for (Placement task : tasks) {
      Resources used = resources(task.job());
      free = free.minus(used.withoutTaskSlots());
      running.add(
          new RunningTask(
              expectedEndMs(task, type, nowMs),
              used,
              task.job().spec().urgency().rank(),
              lostRunTimeMs(task, nowMs)));
    }
    long idleSinceMs = machine.idleSinceMs() >= 0 ? machine.idleSinceMs() : nowMs;
    MachineCapacity.Lifetime lifetime =
        new MachineCapacity.Lifetime(
            machine.tasks().isEmpty(),
            paidUntilMs(machine, idleSinceMs),
            Math.max(
                machine.requestedMs() + policy.billingBlockMs(),
                idleSinceMs + MIN_IDLE_BEFORE_SCALE_IN_MS));
    return new MachineCapacity(
        kind(type, machine.zone(), machine.spot()),
        machine.usable(nowMs),
        timeToNextResponseMs(machine, nowMs),
        readyMs(machine, nowMs),
        free,
        lifetime,
        machine.images(),
        running);
  }

  /**
   * Builds the planner's view of a machine that was requested from the cloud and has not been
   * granted yet.
   */
  MachineCapacity fromPendingScaleOut(Fleet.PendingScaleOut request, long nowMs) {
    MachineType type = request.type();
    long readyMs = expectedBootEndMs(request.sinceMs(), type, nowMs);
    return new MachineCapacity(
        kind(type, request.zone(), request.spot()),
        false,
        0,
        readyMs,
        resources(type, HeartbeatTaskLimit.MAX_TASKS),
        new MachineCapacity.Lifetime(false, readyMs, readyMs),
        new IntOpenHashSet(),
        List.of());
  }

  private static MachineAttributes kind(MachineType type, int zone, boolean spot) {
    double price = spot ? type.spotPrice() : type.onDemandPrice();
    return new MachineAttributes(type.index(), zone, spot, price, type.fetchGbPerSecond());
  }

  static Resources resources(Job job) {
    return HeartbeatTaskLimit.isSmall(job.spec())
        ? Resources.ofSmallTask(job.spec().cores(), job.spec().memoryGb())
        : Resources.ofTask(job.spec().cores(), job.spec().gpus(), job.spec().memoryGb());
  }

  /** The resources of a machine of this type without tasks, but for the given task slots. */
  static Resources resources(MachineType type, int taskSlots) {
    return new Resources(
        type.cores(), type.gpus(), type.memoryGb(), taskSlots, HeartbeatTaskLimit.MAX_SMALL_TASKS);
  }

  /**
   * Time in ms until the machine can receive a command to start a task. Start commands are sent in
   * the responses to heartbeats; the result is 0 if a heartbeat awaits its response now.
   */
  private long timeToNextResponseMs(Machine machine, long nowMs) {
    return machine.liveness().awaitingResponse()
        ? 0
        : Math.max(
            0,
            machine.lastHeartbeatMs()
                + Units.toMs(deployment.workers().heartbeatSeconds())
                - nowMs);
  }

  /** When a machine that is not usable yet is expected to be usable (monotonic clock, ms). */
  private static long readyMs(Machine machine, long nowMs) {
    if (machine.lastHeartbeatMs() >= 0) {
      return nowMs + MIN_EXPECTED_DELAY_MS;
    }
    MachineType type = machine.type();
    long bootingSeconds = (nowMs - machine.requestedMs()) / 1_000;
    return bootingSeconds > LATE_BOOT_FACTOR * type.bootSeconds()
        ? nowMs + (long) (Units.MS_PER_SECOND * LATE_BOOT_REMAINING_FACTOR * type.bootSeconds())
        : expectedBootEndMs(machine.requestedMs(), type, nowMs);
  }

  private static long expectedBootEndMs(long requestedMs, MachineType type, long nowMs) {
    return Math.max(requestedMs + Units.toMs(type.bootSeconds()), nowMs + MIN_EXPECTED_DELAY_MS);
  }

  /**
   * The end of the billing block in which the machine became idle, or of the current block if it is
   * busy (monotonic clock, ms).
   */
  private long paidUntilMs(Machine machine, long idleSinceMs) {
    long blockMs = policy.billingBlockMs();
    long usedMs = Math.max(0, idleSinceMs - machine.requestedMs());
    long blocks = Math.max(1, (usedMs + blockMs - 1) / blockMs);
    return machine.requestedMs() + blocks * blockMs;
  }

  /**
   * Run time in ms that is lost if the task is stopped immediately; {@link #NOT_STOPPABLE} if the
   * task must not be stopped.
   */
  private static long lostRunTimeMs(Placement task, long nowMs) {
    boolean stateUnknown = task.inherited() && !task.reported();
    if (task.stopRequested() || stateUnknown) {
      return NOT_STOPPABLE;
    }
    long runTimeMs = task.runningSinceMs() < 0 ? 0 : nowMs - task.runningSinceMs();
    long checkpointIntervalMs = Units.toMs(task.job().spec().checkpointIntervalSeconds());
    return checkpointIntervalMs > 0 ? runTimeMs % checkpointIntervalMs : runTimeMs;
  }

  /** When the task is expected to end (monotonic clock, ms). */
  private long expectedEndMs(Placement task, MachineType type, long nowMs) {
    if (task.stopRequested()) {
      return nowMs + Units.toMs(task.stopGraceS()) + MIN_EXPECTED_DELAY_MS;
    }
    double estimatedRunTimeSeconds = deadlines.estimatedRunTimeSeconds(task.job());
    if (task.runningSinceMs() < 0) {
      double fetchSeconds =
          task.job().spec().imageGb() / Math.max(MIN_FETCH_GB_PER_SECOND, type.fetchGbPerSecond());
      return task.placedMs() + Units.toMs(estimatedRunTimeSeconds + fetchSeconds);
    }
    double runTimeSeconds = Units.toSeconds(nowMs - task.runningSinceMs());
    return task.runningSinceMs()
        + Units.toMs(RunTimeEstimates.correctedSeconds(estimatedRunTimeSeconds, runTimeSeconds));
  }
}
