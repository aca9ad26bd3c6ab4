package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.job.JobRegistry;
import dev.windbend.job.Placement;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineTypeCatalog;
import dev.windbend.machine.TaskRequirements;
import dev.windbend.peer.MachineTransferMessages;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Jobs that have stalled for long: which of them have no room in their own shard, and what they
 * need.
 */
final class OverdueJobs {
  /**
   * Operators want no job to wait for 90 s beside room that it could have, on whatever shard's
   * machine. A job that stalls for half of that time is overdue.
   */
  private static final long OVERDUE_MS = 45_000;

  private final MachineTypeCatalog catalog;
  private final DeploymentSpec facts;
  private final JobRegistry jobs;
  private final Fleet fleet;

  OverdueJobs(MachineTypeCatalog catalog, DeploymentSpec facts, JobRegistry jobs, Fleet fleet) {
    this.catalog = catalog;
    this.facts = facts;
    this.jobs = jobs;
    this.fleet = fleet;
  }

  static boolean overdue(Job job, long now) {
    return job.waitingCount() > 0 && job.notBeforeMs() <= now && job.stalledMs(now) >= OVERDUE_MS;
  }

  /** One task of each overdue job that no machine of this shard has room for; null: none. */
  MachineTransferMessages.Overdue tasksWithoutRoom(long now) {
    Job longest = null;
    double cores = 0;
    double[] used = TeamUsage.cores(jobs.all(), facts.teams().size());
    for (Job j : jobs.all()) {
      double limit = facts.teams().get(j.team()).maxCores();
      if (!overdue(j, now)
          || failsEverywhere(j)
          || used[j.team()] + j.spec().cores() > limit
          || hasRoom(requirements(j), now)) {
        continue;
      }
      used[j.team()] += j.spec().cores();
      cores += j.spec().cores();
      if (longest == null || longest.stalledMs(now) < j.stalledMs(now)) {
        longest = j;
      }
    }
    return longest == null
        ? null
        : new MachineTransferMessages.Overdue(
            requirements(longest), (int) Math.ceil(cores / catalog.largestCores()));
  }

  /** No machine is vacated for a job that was most likely submitted with a mistake. */
  private static boolean failsEverywhere(Job job) {
    return job.backOffs() > 0 && job.doneCount() == 0;
  }

  private boolean hasRoom(TaskRequirements task, long now) {
    return fleet.machines().stream().anyMatch(m -> m.usable(now) && task.hasRoomOn(m));
  }

  /** What the next task of a job needs, beside those that are placed. */
  TaskRequirements requirements(Job j) {
    return new TaskRequirements(
        j.spec().cores(),
        j.spec().gpus(),
        j.spec().memoryGb(),
        j.spec().types(),
        allowedZones(j),
        j.spec().spot());
  }

  private List<String> allowedZones(Job j) {
    if (j.spec().zone() != null) {
      return List.of(j.spec().zone());
    }
    int[] placed = placedPerZone(j);
    boolean anyPlaced = Arrays.stream(placed).anyMatch(n -> n > 0);
    List<String> zones = new ArrayList<>();
    for (int z = 0; z < placed.length; z++) {
      boolean apart = j.spec().together() && anyPlaced && placed[z] == 0;
      boolean full = j.spec().spread() && placed[z] + 1 > (j.spec().tasks() + 1) / 2;
      if (!apart && !full) {
        zones.add(catalog.zones().name(z));
      }
    }
    return zones;
  }

  int[] placedPerZone(Job j) {
    int[] perZone = new int[catalog.zones().size()];
    if (j.spec().spread() || j.spec().together()) {
      for (Placement p : j.placements()) {
        Machine m = fleet.find(p.machineName());
        if (m != null) {
          perZone[m.zone()]++;
        }
      }
    }
    return perZone;
  }
}
