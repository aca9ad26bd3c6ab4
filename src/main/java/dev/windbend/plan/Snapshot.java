package dev.windbend.plan;

import java.util.List;

/**
 * Input of a scheduling cycle. Teams, machine types, zones and images are identified by dense
 * indices; times are milliseconds of the monotonic clock.
 *
 * @param nowMs time of the cycle
 * @param limits limits of the cycle's decisions
 * @param oldestFirst whether long-waiting jobs are served before jobs of higher priority
 * @param reserveCores idle cores to keep; idle machines beyond this reserve may be released before
 *     the end of their paid block
 * @param teams quotas of the teams, by index of the team
 * @param jobs jobs with waiting tasks
 * @param machines running machines that may be given tasks, and requested machines
 * @param offers machines that the cloud offers
 */
public record Snapshot(
    long nowMs,
    Limits limits,
    boolean oldestFirst,
    double reserveCores,
    List<Team> teams,
    List<PendingJob> jobs,
    List<MachineCapacity> machines,
    List<InstanceOffer> offers) {

  /**
   * Limits of a cycle's decisions.
   *
   * @param cyclePeriodMs maximum time until the next cycle, in milliseconds
   * @param preemptionWaitMs time in milliseconds within which tasks wait for capacity to become
   *     free instead of preempting
   * @param maxNewMachines maximum number of machines that the cycle may request
   */
  public record Limits(long cyclePeriodMs, long preemptionWaitMs, int maxNewMachines) {}

  /**
   * Quota and usage of a team. The usage includes tasks that are not confirmed terminated.
   *
   * @param maxCores maximum number of cores
   * @param maxGpus maximum number of GPUs
   * @param usedCores cores in use
   * @param usedGpus GPUs in use
   */
  public record Team(double maxCores, double maxGpus, double usedCores, double usedGpus) {}
}
