package dev.windbend.daemon;

import dev.windbend.shard.DeploymentSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.DoubleStream;

/** Maps the settings to what the leaders of shards need of them. */
final class DeploymentSpecMapper {
  private static final double MIN_ASSUMED_LIST_LAG_SECONDS = 1;
  private static final int BYTES_PER_KIB = 1024;

  private DeploymentSpecMapper() {}

  /**
   * The deployment as the settings describe it.
   *
   * @param controllerCount how many controllers there are
   */
  static DeploymentSpec map(Settings.Deployment deployment, int controllerCount) {
    return new DeploymentSpec(
        teamQuotas(deployment.teams()),
        controllerCount,
        new DeploymentSpec.WorkerTiming(
            deployment.workers().heartbeatIntervalSeconds(), deployment.workers().leaseSeconds()),
        new DeploymentSpec.CloudLimits(
            Math.max(MIN_ASSUMED_LIST_LAG_SECONDS, deployment.cloud().maxListLagSeconds()),
            deployment.cloud().requestsPerSecond()),
        new DeploymentSpec.StoreLimits(
            (int) (BYTES_PER_KIB * deployment.stateService().maxValueKib()),
            deployment.stateService().writesPerSecond()),
        serviceObjectives(deployment.objectives()));
  }

  private static List<DeploymentSpec.TeamQuota> teamQuotas(List<Settings.Team> teams) {
    List<DeploymentSpec.TeamQuota> quotas = new ArrayList<>();
    for (Settings.Team team : teams) {
      quotas.add(
          new DeploymentSpec.TeamQuota(
              team.name(),
              team.guaranteedCores(),
              team.maxCores(),
              team.guaranteedGpus(),
              team.maxGpus()));
    }
    return quotas;
  }

  /** Objectives of an unknown kind, or without what their kind needs, are ignored. */
  private static DeploymentSpec.ServiceObjectives serviceObjectives(
      List<Settings.Objective> objectives) {
    Map<String, double[]> deadlineFactors = new HashMap<>();
    Map<String, double[]> finishWithinSeconds = new HashMap<>();
    Map<String, Double> startWithinSeconds = new HashMap<>();
    double guaranteedStartSeconds = 0;
    for (Settings.Objective objective : objectives) {
      String kind = objective.kind();
      String jobKind = objective.jobKind();
      boolean hasLimit = objective.withinSeconds().isPresent();
      if ("guarantee".equals(kind) && hasLimit) {
        guaranteedStartSeconds = objective.withinSeconds().getAsDouble();
      } else if (jobKind != null) {
        if ("wait".equals(kind) && hasLimit) {
          startWithinSeconds.merge(jobKind, objective.withinSeconds().getAsDouble(), Math::max);
        } else if ("finished".equals(kind) && hasLimit) {
          addSorted(finishWithinSeconds, jobKind, objective.withinSeconds().getAsDouble());
        } else if ("deadline".equals(kind) && objective.deadlineFactor().isPresent()) {
          addSorted(deadlineFactors, jobKind, objective.deadlineFactor().getAsDouble());
        }
      }
    }
    return new DeploymentSpec.ServiceObjectives(
        deadlineFactors, finishWithinSeconds, startWithinSeconds, guaranteedStartSeconds);
  }

  private static void addSorted(
      Map<String, double[]> valuesByJobKind, String jobKind, double value) {
    valuesByJobKind.merge(
        jobKind,
        new double[] {value},
        (present, added) ->
            DoubleStream.concat(DoubleStream.of(present), DoubleStream.of(added))
                .sorted()
                .toArray());
  }
}
