package dev.windbend.shard;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.DoubleStream;

/** What the settings file says about teams, workers and the cloud, for owners. */
public record DeploymentSpec(
    List<TeamQuota> teams,
    int nodes,
    double reportS,
    double leaseS,
    double listLagS,
    double cloudRps,
    int valueBytes,
    double writeRps,
    ServiceObjectives aims) {

  /** Least time between an owner's writes: the owners together take half of what is allowed. */
  long writeGapMs(int shards) {
    return (long) (2_000.0 * shards / writeRps);
  }

  public record TeamQuota(
      String name, double cores, double maxCores, double gpus, double maxGpus) {}

  /**
   * What is asked of classes of jobs: times of the deadline, seconds to finish within, seconds to
   * start within; and how soon work within a guarantee is to start, 0: nothing is asked.
   */
  public record ServiceObjectives(
      Map<String, double[]> dueTimes,
      Map<String, double[]> withinS,
      Map<String, Double> waitS,
      double guaranteeS) {
    private static final double[] ONCE = {1};
    private static final double[] NONE = {};

    /** Time limits from submission, ascending. */
    double[] limits(String kind, Double dueS, double impliedS, boolean fromAims) {
      double[] within = fromAims ? withinS.getOrDefault(kind, NONE) : NONE;
      if (dueS != null) {
        double[] times = fromAims ? dueTimes.getOrDefault(kind, ONCE) : ONCE;
        DoubleStream due = Arrays.stream(times).map(t -> t * dueS);
        return DoubleStream.concat(due, Arrays.stream(within)).sorted().toArray();
      }
      return within.length == 0 ? new double[] {impliedS} : within;
    }
  }
}
