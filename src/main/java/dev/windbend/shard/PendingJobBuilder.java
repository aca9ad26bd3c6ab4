package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.machine.MachineType;
import dev.windbend.plan.Deadline;
import dev.windbend.plan.PendingJob;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.List;

/** Builds the planner's view of jobs with waiting tasks. */
final class PendingJobBuilder {
  private static final int ANY_ZONE = -1;

  private final ShardState state;
  private final DeploymentSpec.ServiceObjectives objectives;
  private final JobDeadlines deadlines;
  private final StarvedJobs starvedJobs;

  PendingJobBuilder(
      ShardState state,
      DeploymentSpec.ServiceObjectives objectives,
      JobDeadlines deadlines,
      StarvedJobs starvedJobs) {
    this.state = state;
    this.objectives = objectives;
    this.deadlines = deadlines;
    this.starvedJobs = starvedJobs;
  }

  /**
   * Builds the planner's view of one job.
   *
   * @param nowMs monotonic clock
   * @param machineIndexByName the index of each machine in the snapshot, by machine name
   * @param guaranteed whether the job is within its team's guarantee
   */
  PendingJob build(
      Job job, long nowMs, Object2IntOpenHashMap<String> machineIndexByName, boolean guaranteed) {
    long ageMs = deadlines.ageMs(job);
    return new PendingJob(
        job.teamIndex(),
        job.spec().urgency().rank(),
        requirements(job),
        constraints(job, machineIndexByName),
        progress(job, nowMs, ageMs),
        objectives(job, guaranteed, nowMs, ageMs));
  }

  private PendingJob.Requirements requirements(Job job) {
    return new PendingJob.Requirements(
        MachineCapacityBuilder.resources(job),
        state.images().index(job.spec().image()),
        job.spec().imageGb(),
        deadlines.estimatedRunTimeMs(job));
  }

  private PendingJob.Constraints constraints(
      Job job, Object2IntOpenHashMap<String> machineIndexByName) {
    return new PendingJob.Constraints(
        allowedTypes(job),
        job.spec().zone() == null ? ANY_ZONE : state.catalog().zones().index(job.spec().zone()),
        job.spec().together(),
        job.spec().spread(),
        job.spec().spot(),
        job.backoff().notBeforeMs(),
        avoidedMachines(job, machineIndexByName));
  }

  private PendingJob.Progress progress(Job job, long nowMs, long ageMs) {
    return new PendingJob.Progress(
        job.spec().tasks(),
        job.waitingCount(),
        starvedJobs.placedTasksPerZone(job),
        ageMs,
        job.started(),
        StarvedJobs.isStarved(job, nowMs),
        state.zones().isDisplaced(job));
  }

  private PendingJob.Objectives objectives(Job job, boolean guaranteed, long nowMs, long ageMs) {
    long submittedMs = nowMs - ageMs;
    Deadline deadline = deadlines.nextDeadline(job, ageMs);
    return new PendingJob.Objectives(
        submittedMs + Units.toMs(deadline.dueSeconds()),
        deadline.unattainable(),
        guaranteed,
        submittedMs + Units.toMs(startWithinSeconds(job, guaranteed)));
  }

  /**
   * Whether the job may run on each machine type, by type index; null if it may run on any type.
   */
  private boolean[] allowedTypes(Job job) {
    List<String> names = job.spec().types();
    if (names == null) {
      return null;
    }
    boolean[] allowed = new boolean[state.catalog().all().size()];
    for (MachineType type : state.catalog().all()) {
      allowed[type.index()] = names.contains(type.name());
    }
    return allowed;
  }

  /** Snapshot indices of the machines on which tasks of the job have failed. */
  private static IntOpenHashSet avoidedMachines(
      Job job, Object2IntOpenHashMap<String> machineIndexByName) {
    IntOpenHashSet avoided = new IntOpenHashSet();
    for (String machine : job.backoff().failedMachines()) {
      if (machineIndexByName.containsKey(machine)) {
        avoided.add(machineIndexByName.getInt(machine));
      }
    }
    return avoided;
  }

  /**
   * The longest time from submission within which an objective requires the job to start; 0 if no
   * objective sets such a time.
   */
  private double startWithinSeconds(Job job, boolean guaranteed) {
    return Math.max(
        objectives.startWithinSeconds().getOrDefault(job.spec().kind(), 0.0),
        guaranteed ? objectives.guaranteedStartSeconds() : 0);
  }
}
