package dev.windbend.shard;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.DoubleStream;

/**
 * What the settings file says about the deployment, as far as a shard's leader needs it.
 *
 * @param teams in the order of the settings file; a team's place in it is its index everywhere
 * @param controllers how many controllers the deployment has
 * @param workers how workers report
 * @param cloud what the cloud allows
 * @param store what the state service allows
 * @param objectives what is asked of jobs
 */
public record DeploymentSpec(
    List<TeamQuota> teams,
    int controllers,
    WorkerTiming workers,
    CloudLimits cloud,
    StoreLimits store,
    ServiceObjectives objectives) {

  /** The leaders of all shards together take this part of the writes that are allowed. */
  private static final double LEADER_WRITE_RATE_SHARE = 0.5;

  /** Least time between two writes of a shard's leader. */
  long minWriteIntervalMs(int shards) {
    return (long)
        (Units.MS_PER_SECOND / LEADER_WRITE_RATE_SHARE * shards / store.writesPerSecond());
  }

  /** The guaranteed cores of all teams of a shard. */
  double guaranteedCores(ShardLayout layout, int shard) {
    double cores = 0;
    for (int team = 0; team < teams.size(); team++) {
      cores += layout.shardOf(team) == shard ? teams.get(team).guaranteedCores() : 0;
    }
    return cores;
  }

  /**
   * What a team is entitled to.
   *
   * @param name the team's name in submissions
   * @param guaranteedCores cores that its jobs get before others' jobs get more than theirs
   * @param maxCores cores that its tasks use at most
   * @param guaranteedGpus GPUs, likewise
   * @param maxGpus GPUs that its tasks use at most
   */
  public record TeamQuota(
      String name,
      double guaranteedCores,
      double maxCores,
      double guaranteedGpus,
      double maxGpus) {}

  /**
   * How workers report.
   *
   * @param heartbeatSeconds time between two heartbeats of a worker
   * @param leaseSeconds how long after a heartbeat that was answered a worker keeps its tasks
   */
  public record WorkerTiming(double heartbeatSeconds, double leaseSeconds) {}

  /**
   * What the cloud allows.
   *
   * @param maxListLagSeconds how far its list of machines may be behind
   * @param requestsPerSecond requests that all controllers together may send
   */
  public record CloudLimits(double maxListLagSeconds, double requestsPerSecond) {}

  /**
   * What the state service allows.
   *
   * @param maxValueBytes the size of a stored value at most
   * @param writesPerSecond changes that all controllers together may make
   */
  public record StoreLimits(int maxValueBytes, double writesPerSecond) {}

  /**
   * Service-level objectives, by kind of job.
   *
   * @param deadlineFactors multiples of a job's own deadline within which it should finish
   * @param finishWithinSeconds times from submission within which a job should finish, ascending
   * @param startWithinSeconds time from submission within which a job should start
   * @param guaranteedStartSeconds time within which work within its team's guarantee should start;
   *     0: nothing is asked
   */
  public record ServiceObjectives(
      Map<String, double[]> deadlineFactors,
      Map<String, double[]> finishWithinSeconds,
      Map<String, Double> startWithinSeconds,
      double guaranteedStartSeconds) {
    private static final double[] DEFAULT_DEADLINE_FACTORS = {1};
    private static final double[] NO_TIME_LIMITS = {};

    /**
     * The times within which a job should finish.
     *
     * @param deadlineSeconds the job's own deadline; null: it has none
     * @param impliedDeadlineSeconds what counts for a job with neither a deadline nor an objective
     * @param useObjectives whether objectives count at all
     * @return seconds from submission, ascending
     */
    double[] timeLimitsSeconds(
        String kind, Double deadlineSeconds, double impliedDeadlineSeconds, boolean useObjectives) {
      double[] finishLimitsSeconds =
          useObjectives ? finishWithinSeconds.getOrDefault(kind, NO_TIME_LIMITS) : NO_TIME_LIMITS;
      if (deadlineSeconds != null) {
        double[] factors =
            useObjectives
                ? deadlineFactors.getOrDefault(kind, DEFAULT_DEADLINE_FACTORS)
                : DEFAULT_DEADLINE_FACTORS;
        DoubleStream deadlines = Arrays.stream(factors).map(factor -> factor * deadlineSeconds);
        return DoubleStream.concat(deadlines, Arrays.stream(finishLimitsSeconds))
            .sorted()
            .toArray();
      }
      return finishLimitsSeconds.length == 0
          ? new double[] {impliedDeadlineSeconds}
          : finishLimitsSeconds;
    }
  }
}
