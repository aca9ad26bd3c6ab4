package dev.windbend.plan;

import java.util.List;

/**
 * All that a scheduling cycle decides on. Names are dense indices here, and times are of the steady
 * clock.
 *
 * @param nowMs when the cycle runs
 * @param limits what bounds its decisions
 * @param oldestFirst whether jobs that have waited for long are served before all else
 * @param reserveCores cores that idle machines keep before any goes ahead of its time
 * @param teams by their index
 * @param jobs those with waiting tasks
 * @param machines those that may get tasks, and those that are requested
 * @param offers what the cloud rents
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
   * What bounds a cycle's decisions.
   *
   * @param cyclePeriodMs longest time until the next cycle
   * @param preemptionWaitMs what is free within this time is waited for rather than preempted
   * @param maxNewMachines how many machines the cycle may request of the cloud
   */
  public record Limits(long cyclePeriodMs, long preemptionWaitMs, int maxNewMachines) {}

  /**
   * A team's quota and what its tasks use, those included that are not proved gone.
   *
   * @param maxCores cores that it may use
   * @param maxGpus GPUs that it may use
   * @param usedCores cores that it uses
   * @param usedGpus GPUs that it uses
   */
  public record Team(double maxCores, double maxGpus, double usedCores, double usedGpus) {}
}
