package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.machine.MachineType;
import dev.windbend.plan.Deadlines;
import dev.windbend.plan.Snapshot;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.List;

/** Describes jobs with waiting tasks to the planner. */
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
   * @param indexOfMachine the place of each machine in the snapshot, by name
   * @param guaranteed the job is within its team's guarantee
   */
  Snapshot.PendingJob of(
      Job job, long nowMs, Object2IntOpenHashMap<String> indexOfMachine, boolean guaranteed) {
    long submittedMs = nowMs - deadlines.ageMs(job);
    Deadlines due = deadlines.next(job, nowMs - submittedMs);
    return new Snapshot.PendingJob(
        job.team(),
        job.spec().urgency().rank(),
        MachineCapacityBuilder.size(job),
        allowedTypes(job),
        job.spec().zone() == null ? ANY_ZONE : state.catalog().zones().index(job.spec().zone()),
        job.spec().together(),
        job.spec().spread(),
        job.spec().spot(),
        state.images().index(job.spec().image()),
        job.spec().imageGb(),
        job.spec().tasks(),
        job.waitingCount(),
        starvedJobs.placedPerZone(job),
        Units.toMs(deadlines.estimateSeconds(job)),
        submittedMs + Units.toMs(due.dueS()),
        due.hopeless(),
        guaranteed,
        submittedMs + Units.toMs(startWithinSeconds(job, guaranteed)),
        nowMs - submittedMs,
        job.begun(),
        StarvedJobs.starved(job, nowMs),
        state.zones().displaced(job),
        job.notBeforeMs(),
        avoidedMachines(job, indexOfMachine));
  }

  /** By the index of the machine type; null: any. */
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

  /** Machines on which tasks of the job have failed. */
  private static IntOpenHashSet avoidedMachines(
      Job job, Object2IntOpenHashMap<String> indexOfMachine) {
    IntOpenHashSet avoided = new IntOpenHashSet();
    for (String machine : job.failedMachines()) {
      if (indexOfMachine.containsKey(machine)) {
        avoided.add(indexOfMachine.getInt(machine));
      }
    }
    return avoided;
  }

  /** From submission; 0: no objective asks for an early start. */
  private double startWithinSeconds(Job job, boolean guaranteed) {
    return Math.max(
        objectives.startWithinSeconds().getOrDefault(job.spec().kind(), 0.0),
        guaranteed ? objectives.guaranteedStartSeconds() : 0);
  }
}
