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
  private static final double SHARE_OF_WRITES = 0.5;

  /** Least time between two writes of a shard's leader. */
  long writeIntervalMs(int shards) {
    return (long) (Units.MS_PER_SECOND / SHARE_OF_WRITES * shards / store.writesPerSecond());
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
   * @param listLagSeconds how far its list of machines may be behind
   * @param requestsPerSecond requests that all controllers together may send
   */
  public record CloudLimits(double listLagSeconds, double requestsPerSecond) {}

  /**
   * What the state service allows.
   *
   * @param valueBytes the size of a stored value at most
   * @param writesPerSecond changes that all controllers together may make
   */
  public record StoreLimits(int valueBytes, double writesPerSecond) {}

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
    private static final double[] ONCE = {1};
    private static final double[] NONE = {};

    /**
     * The times within which a job should finish.
     *
     * @param deadlineSeconds the job's own deadline; null: it has none
     * @param impliedSeconds what counts for a job with neither a deadline nor an objective
     * @param fromObjectives whether objectives count at all
     * @return seconds from submission, ascending
     */
    double[] timeLimitsSeconds(
        String kind, Double deadlineSeconds, double impliedSeconds, boolean fromObjectives) {
      double[] within = fromObjectives ? finishWithinSeconds.getOrDefault(kind, NONE) : NONE;
      if (deadlineSeconds != null) {
        double[] factors = fromObjectives ? deadlineFactors.getOrDefault(kind, ONCE) : ONCE;
        DoubleStream deadlines = Arrays.stream(factors).map(factor -> factor * deadlineSeconds);
        return DoubleStream.concat(deadlines, Arrays.stream(within)).sorted().toArray();
      }
      return within.length == 0 ? new double[] {impliedSeconds} : within;
    }
  }
}
