package dev.windbend.shard;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.DoubleStream;

/**
 * The properties of the deployment in the settings file that a shard's leader needs.
 *
 * @param teams in the order of the settings file; a team's position is its index throughout the
 *     program
 * @param controllers number of controllers in the deployment
 * @param workers timing of the workers' heartbeats and leases
 * @param cloud limits of the cloud
 * @param store limits of the state service
 * @param objectives service-level objectives of jobs
 */
public record DeploymentSpec(
    List<TeamQuota> teams,
    int controllers,
    WorkerTiming workers,
    CloudLimits cloud,
    StoreLimits store,
    ServiceObjectives objectives) {

  /** Share of the permitted write rate that the leaders of all shards use together. */
  private static final double LEADER_WRITE_RATE_SHARE = 0.5;

  /**
   * Minimum time between two writes of a shard's leader.
   *
   * @param shards number of shards in the deployment
   */
  long minWriteIntervalMs(int shards) {
    return (long)
        (Units.MS_PER_SECOND / LEADER_WRITE_RATE_SHARE * shards / store.writesPerSecond());
  }

  /** Sum of the guaranteed cores of all teams of a shard. */
  double guaranteedCores(ShardLayout layout, int shard) {
    double cores = 0;
    for (int team = 0; team < teams.size(); team++) {
      cores += layout.shardOf(team) == shard ? teams.get(team).guaranteedCores() : 0;
    }
    return cores;
  }

  /**
   * A team's guaranteed and maximum resources.
   *
   * @param name the team's name in submissions
   * @param guaranteedCores cores that its jobs receive before jobs of other teams receive more than
   *     their own guarantee
   * @param maxCores maximum number of cores that its tasks use
   * @param guaranteedGpus GPUs that its jobs receive before jobs of other teams receive more than
   *     their own guarantee
   * @param maxGpus maximum number of GPUs that its tasks use
   */
  public record TeamQuota(
      String name,
      double guaranteedCores,
      double maxCores,
      double guaranteedGpus,
      double maxGpus) {}

  /**
   * Timing of the workers' heartbeats and leases.
   *
   * @param heartbeatSeconds time between two heartbeats of a worker
   * @param leaseSeconds how long a worker keeps its tasks after a heartbeat that received a
   *     response
   */
  public record WorkerTiming(double heartbeatSeconds, double leaseSeconds) {}

  /**
   * Limits of the cloud.
   *
   * @param maxListLagSeconds maximum time by which its list of machines lags behind
   * @param requestsPerSecond maximum request rate of all controllers together
   */
  public record CloudLimits(double maxListLagSeconds, double requestsPerSecond) {}

  /**
   * Limits of the state service.
   *
   * @param maxValueBytes maximum size of a stored value
   * @param writesPerSecond maximum write rate of all controllers together
   */
  public record StoreLimits(int maxValueBytes, double writesPerSecond) {}

  /**
   * Service-level objectives, by kind of job. A kind without an objective has no entry.
   *
   * @param deadlineFactors multiples of a job's own deadline within which it should finish
   * @param finishWithinSeconds times from submission within which a job should finish, ascending
   * @param startWithinSeconds times from submission within which a job should start
   * @param guaranteedStartSeconds time from submission within which a job within its team's
   *     guarantee should start; 0 if there is no such objective
   */
  public record ServiceObjectives(
      Map<String, double[]> deadlineFactors,
      Map<String, double[]> finishWithinSeconds,
      Map<String, Double> startWithinSeconds,
      double guaranteedStartSeconds) {
    private static final double[] DEFAULT_DEADLINE_FACTORS = {1};
    private static final double[] NO_TIME_LIMITS = {};

    /**
     * Returns the times within which a job should finish.
     *
     * @param kind the kind of job
     * @param deadlineSeconds the job's own deadline; null if it has none
     * @param impliedDeadlineSeconds the time limit of a job with neither a deadline nor an
     *     objective
     * @param useObjectives whether objectives are applied; if not, only deadlines are
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
