package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.job.JobRegistry;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineMessages.TaskRequirements;
import java.util.Optional;

/**
 * The job of a shard that was submitted first of those with waiting tasks.
 *
 * @param uid the job's id
 * @param ageSeconds time since its submission
 * @param reason why it waits
 */
record OldestWaitingJob(String uid, long ageSeconds, WaitReason reason) {
  private static final long MS_PER_SECOND = 1_000;

  /** Empty if no job waits. */
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
            oldest.notBeforeMs() - nowMs,
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
        .filter(state.zones()::unreachable)
        .map(WaitReason.ZoneUnreachable::new);
  }

  private static Optional<WaitReason.TeamQuota> exhaustedQuota(
      Job job, ShardState state, DeploymentSpec deployment) {
    int teams = deployment.teams().size();
    double usedCores = TeamUsage.cores(state.jobs().all(), teams)[job.team()];
    double usedGpus = TeamUsage.gpus(state.jobs().all(), teams)[job.team()];
    DeploymentSpec.TeamQuota quota = deployment.teams().get(job.team());
    boolean exhausted =
        usedCores + job.spec().cores() > quota.maxCores() + Units.RESOURCE_TOLERANCE
            || usedGpus + job.spec().gpus() > quota.maxGpus() + Units.RESOURCE_TOLERANCE;
    return exhausted
        ? Optional.of(new WaitReason.TeamQuota(usedCores, quota.maxCores()))
        : Optional.empty();
  }

  /**
   * The first reason that applies.
   *
   * @param backoffMs until the job may be tried again, as its tasks fail everywhere; not above 0:
   *     it may be now
   * @param quota the quota that another task would exceed, if any
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
   * What the shard's machines have for a task.
   *
   * @param available whether some machine has capacity for it now
   * @param shortage what stands in the way if none has
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
        available |= usable && task.hasRoomOn(machine);
      }
      int requested =
          fleet.pendingScaleOuts().stream().mapToInt(Fleet.PendingScaleOut::count).sum();
      return new Capacity(
          available,
          new WaitReason.NoCapacity(booting, requested, unavailable, fleet.anyRefused()));
    }
  }
}
