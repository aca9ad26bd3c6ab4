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
 * Starved jobs: none of their waiting tasks has been placed for long. Says which of them no machine
 * of their own shard has capacity for, and what they need.
 */
final class StarvedJobs {
  /**
   * Operators want no job to wait for 90 s beside capacity that it could have, on whatever shard's
   * machine. A job that stalls for half of that time is starved.
   */
  private static final long STARVED_AFTER_MS = 45_000;

  private final ShardState state;
  private final DeploymentSpec deployment;

  StarvedJobs(ShardState state, DeploymentSpec deployment) {
    this.state = state;
    this.deployment = deployment;
  }

  static boolean isStarved(Job job, long nowMs) {
    return job.waitingCount() > 0
        && job.notBeforeMs() <= nowMs
        && job.sinceProgressMs(nowMs) >= STARVED_AFTER_MS;
  }

  /**
   * One task of each starved job that no machine of this shard has capacity for, as a request to
   * other shards; empty if there is none.
   */
  Optional<MachineTransferMessages.OverdueTasks> tasksWithoutCapacity(long nowMs) {
    Job longestWaiting = null;
    double lackingCores = 0;
    double[] usedCores = TeamUsage.cores(state.jobs().all(), deployment.teams().size());
    for (Job job : state.jobs().all()) {
      double maxCores = deployment.teams().get(job.team()).maxCores();
      if (!isStarved(job, nowMs)
          || failsOnAllMachines(job)
          || usedCores[job.team()] + job.spec().cores() > maxCores
          || anyMachineHasCapacity(nextTaskRequirements(job), nowMs)) {
        continue;
      }
      usedCores[job.team()] += job.spec().cores();
      lackingCores += job.spec().cores();
      if (longestWaiting == null
          || longestWaiting.sinceProgressMs(nowMs) < job.sinceProgressMs(nowMs)) {
        longestWaiting = job;
      }
    }
    if (longestWaiting == null) {
      return Optional.empty();
    }
    int machines = (int) Math.ceil(lackingCores / state.catalog().largestCores());
    return Optional.of(
        new MachineTransferMessages.OverdueTasks(nextTaskRequirements(longestWaiting), machines));
  }

  /** No machine is vacated for a job that was most likely submitted with a mistake. */
  private static boolean failsOnAllMachines(Job job) {
    return job.backOffs() > 0 && job.doneCount() == 0;
  }

  private boolean anyMachineHasCapacity(TaskRequirements task, long nowMs) {
    return state.fleet().machines().stream()
        .anyMatch(machine -> machine.usable(nowMs) && task.hasRoomOn(machine));
  }

  /** What the next task of a job needs, given the tasks that are placed. */
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

  /** Placed tasks by zone, counted only for jobs that are co-located or spread. */
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
