package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.job.Placement;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineMessages.TaskRequirements;
import dev.windbend.peer.MachineTransferMessages;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Detects starved jobs, which are jobs with waiting tasks of which none has been placed for a long
 * time, and determines the requirements of those for which no machine of their own shard has
 * capacity.
 */
final class StarvedJobs {
  /**
   * Operators require that no job waits for 90 s while a machine of any shard has capacity for it.
   * A job that makes no progress for half of that time counts as starved.
   */
  private static final long STARVED_AFTER_MS = 45_000;

  private final ShardState state;
  private final DeploymentSpec deployment;

  StarvedJobs(ShardState state, DeploymentSpec deployment) {
    this.state = state;
    this.deployment = deployment;
  }

  /** Whether the job has waiting tasks that may start now and has made no progress for too long. */
  static boolean isStarved(Job job, long nowMs) {
    return job.waitingCount() > 0
        && job.backoff().notBeforeMs() <= nowMs
        && job.timeSinceProgressMs(nowMs) >= STARVED_AFTER_MS;
  }

  /**
   * A request to other shards for one task of each starved job for which no machine of this shard
   * has capacity; empty if there is no such job. Jobs that fail on all machines or would exceed
   * their team's core quota are left out.
   *
   * @param nowMs monotonic clock
   */
  Optional<MachineTransferMessages.OverdueTasks> tasksWithoutCapacity(long nowMs) {
    Job longestWaiting = null;
    double lackingCores = 0;
    double[] usedCores = TeamUsage.cores(state.jobs().all(), deployment.teams().size());
    for (Job job : state.jobs().all()) {
      double maxCores = deployment.teams().get(job.teamIndex()).maxCores();
      if (!isStarved(job, nowMs)
          || failsOnAllMachines(job)
          || usedCores[job.teamIndex()] + job.spec().cores() > maxCores
          || anyMachineHasCapacity(nextTaskRequirements(job), nowMs)) {
        continue;
      }
      usedCores[job.teamIndex()] += job.spec().cores();
      lackingCores += job.spec().cores();
      if (longestWaiting == null
          || longestWaiting.timeSinceProgressMs(nowMs) < job.timeSinceProgressMs(nowMs)) {
        longestWaiting = job;
      }
    }
    if (longestWaiting == null) {
      return Optional.empty();
    }
    int machines = (int) Math.ceil(lackingCores / state.catalog().maxCores());
    return Optional.of(
        new MachineTransferMessages.OverdueTasks(nextTaskRequirements(longestWaiting), machines));
  }

  /**
   * Whether the job's tasks have failed on several machines and none has completed. Such a job was
   * most likely submitted with an error, so no machine is evicted for it.
   */
  private static boolean failsOnAllMachines(Job job) {
    return job.backoff().count() > 0 && job.completedCount() == 0;
  }

  private boolean anyMachineHasCapacity(TaskRequirements task, long nowMs) {
    return state.fleet().machines().stream()
        .anyMatch(machine -> machine.usable(nowMs) && task.hasCapacityOn(machine));
  }

  /** Requirements of the job's next task, given the zones in which its other tasks are placed. */
  TaskRequirements nextTaskRequirements(Job job) {
    return new TaskRequirements(
        job.spec().cores(),
        job.spec().gpus(),
        job.spec().memoryGb(),
        job.spec().types(),
        allowedZones(job),
        job.spec().spot());
  }

  private List<String> allowedZones(Job job) {
    if (job.spec().zone() != null) {
      return List.of(job.spec().zone());
    }
    int[] tasksPerZone = placedTasksPerZone(job);
    boolean anyPlaced = Arrays.stream(tasksPerZone).anyMatch(count -> count > 0);
    List<String> zones = new ArrayList<>();
    for (int zone = 0; zone < tasksPerZone.length; zone++) {
      boolean breaksColocation = job.spec().together() && anyPlaced && tasksPerZone[zone] == 0;
      boolean breaksSpread =
          job.spec().spread() && tasksPerZone[zone] + 1 > (job.spec().tasks() + 1) / 2;
      if (!breaksColocation && !breaksSpread) {
        zones.add(state.catalog().zones().name(zone));
      }
    }
    return zones;
  }

  /**
   * Number of placed tasks by zone index; 0 in each zone for jobs that are neither co-located nor
   * spread.
   */
  int[] placedTasksPerZone(Job job) {
    int[] tasksPerZone = new int[state.catalog().zones().size()];
    if (job.spec().spread() || job.spec().together()) {
      for (Placement placement : job.placements()) {
        Machine machine = state.fleet().find(placement.machineName());
        if (machine != null) {
          tasksPerZone[machine.zone()]++;
        }
      }
    }
    return tasksPerZone;
  }
}
