package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.job.JobRegistry;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineMessages.TaskRequirements;
import java.util.Optional;

/**
 * The earliest-submitted job of a shard among those with waiting tasks.
 *
 * @param uid the job's id
 * @param ageSeconds time since its submission, rounded down
 * @param reason why its tasks wait
 */
record OldestWaitingJob(String uid, long ageSeconds, WaitReason reason) {
  private static final long MS_PER_SECOND = 1_000;

  /**
   * Finds the oldest waiting job.
   *
   * @param nowMs monotonic clock
   * @param wallMs wall clock
   * @return empty if no job waits
   */
  static Optional<OldestWaitingJob> find(
      ShardState state,
      DeploymentSpec deployment,
      StarvedJobs starvedJobs,
      long nowMs,
      long wallMs) {
    Job oldest = oldest(state.jobs());
    if (oldest == null) {
      return Optional.empty();
    }
    long ageSeconds = (wallMs - oldest.submittedWallMs()) / MS_PER_SECOND;
    WaitReason reason =
        reason(
            unreachableZone(oldest, state),
            oldest.backoff().notBeforeMs() - nowMs,
            exhaustedQuota(oldest, state, deployment),
            Capacity.of(state.fleet(), starvedJobs.nextTaskRequirements(oldest), nowMs));
    return Optional.of(new OldestWaitingJob(oldest.spec().uid(), ageSeconds, reason));
  }

  private static Job oldest(JobRegistry jobs) {
    Job oldest = null;
    for (Job job : jobs.all()) {
      if (job.waitingCount() > 0
          && (oldest == null || job.submittedWallMs() < oldest.submittedWallMs())) {
        oldest = job;
      }
    }
    return oldest;
  }

  private static Optional<WaitReason.ZoneUnreachable> unreachableZone(Job job, ShardState state) {
    return Optional.ofNullable(job.spec().zone())
        .filter(state.zones()::isUnreachable)
        .map(WaitReason.ZoneUnreachable::new);
  }

  private static Optional<WaitReason.TeamQuota> exhaustedQuota(
      Job job, ShardState state, DeploymentSpec deployment) {
    int teams = deployment.teams().size();
    double usedCores = TeamUsage.cores(state.jobs().all(), teams)[job.teamIndex()];
    double usedGpus = TeamUsage.gpus(state.jobs().all(), teams)[job.teamIndex()];
    DeploymentSpec.TeamQuota quota = deployment.teams().get(job.teamIndex());
    boolean exhausted =
        usedCores + job.spec().cores() > quota.maxCores() + Units.RESOURCE_TOLERANCE
            || usedGpus + job.spec().gpus() > quota.maxGpus() + Units.RESOURCE_TOLERANCE;
    return exhausted
        ? Optional.of(new WaitReason.TeamQuota(usedCores, quota.maxCores()))
        : Optional.empty();
  }

  /**
   * Returns the first reason that applies.
   *
   * @param zone the unreachable zone to which the job is restricted, if any
   * @param backoffMs time until the job may be retried after its tasks failed on every machine; 0
   *     or less if it may be retried now
   * @param quota the team quota that another task would exceed, if any
   * @param capacity whether the shard's machines have capacity for a task of the job
   */
  static WaitReason reason(
      Optional<WaitReason.ZoneUnreachable> zone,
      long backoffMs,
      Optional<WaitReason.TeamQuota> quota,
      Capacity capacity) {
    if (zone.isPresent()) {
      return zone.get();
    }
    if (backoffMs > 0) {
      return new WaitReason.Backoff(backoffMs);
    }
    if (quota.isPresent()) {
      return quota.get();
    }
    return capacity.available() ? new WaitReason.CapacityReserved() : capacity.shortage();
  }

  /**
   * Whether the shard's machines have capacity for a task.
   *
   * @param available whether a usable machine has capacity for the task now
   * @param shortage the reason to report if no machine has capacity
   */
  record Capacity(boolean available, WaitReason.NoCapacity shortage) {

    private static Capacity of(Fleet fleet, TaskRequirements task, long nowMs) {
      int booting = 0;
      int unavailable = 0;
      boolean available = false;
      for (Machine machine : fleet.machines()) {
        boolean usable = machine.usable(nowMs);
        boolean heartbeatReceived = machine.lastHeartbeatMs() >= 0;
        booting += heartbeatReceived ? 0 : 1;
        unavailable += heartbeatReceived && !usable ? 1 : 0;
        available |= usable && task.hasCapacityOn(machine);
      }
      int requested =
          fleet.pendingScaleOuts().stream().mapToInt(Fleet.PendingScaleOut::count).sum();
      return new Capacity(
          available,
          new WaitReason.NoCapacity(booting, requested, unavailable, fleet.anyRecentlyRefused()));
    }
  }
}
