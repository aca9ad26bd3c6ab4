package dev.windbend.daemon;

import dev.windbend.shard.DeploymentSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.DoubleStream;

/** Converts the deployment's settings to the {@link DeploymentSpec} that shard leaders use. */
final class DeploymentSpecMapper {
  private static final double MIN_ASSUMED_LIST_LAG_SECONDS = 1;
  private static final int BYTES_PER_KIB = 1024;

  private DeploymentSpecMapper() {}

  /**
   * Converts the deployment's settings.
   *
   * @param controllerCount number of controllers in the deployment
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

  /**
   * Groups objectives by kind of job. Of several wait objectives, the longest time applies; finish
   * times and deadline factors are all kept, in ascending order. Objectives of an unknown kind, or
   * without a field that their kind requires, are ignored.
   */
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
        (existing, added) ->
            DoubleStream.concat(DoubleStream.of(existing), DoubleStream.of(added))
                .sorted()
                .toArray());
  }
}
