package dev.windbend.shard;

import dev.windbend.job.Job;
import java.util.Collection;
import java.util.function.ToDoubleFunction;

/**
 * The resources that each team's tasks use, by the team's index. A task counts until it is
 * confirmed terminated, whichever shard the machine belongs to.
 */
final class TeamUsage {
  private TeamUsage() {}

  static double[] cores(Collection<Job> jobs, int teams) {
    return sum(jobs, teams, job -> job.spec().cores());
  }

  static double[] gpus(Collection<Job> jobs, int teams) {
    return sum(jobs, teams, job -> job.spec().gpus());
  }

  private static double[] sum(Collection<Job> jobs, int teams, ToDoubleFunction<Job> perTask) {
    double[] used = new double[teams];
    for (Job job : jobs) {
      used[job.teamIndex()] += job.placements().size() * perTask.applyAsDouble(job);
    }
    return used;
  }
}
