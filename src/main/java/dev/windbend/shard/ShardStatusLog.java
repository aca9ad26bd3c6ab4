package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.machine.Machine;
import dev.windbend.runtime.EventLoop;
import dev.windbend.store.PagedStore;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Periodically logs the status of a shard, and the reason why its oldest waiting job waits. */
final class ShardStatusLog {
  private static final Logger LOG = LoggerFactory.getLogger(ShardStatusLog.class);
  private static final long MS_PER_SECOND = 1_000;

  private final EventLoop loop;
  private final ShardState state;
  private final DeploymentSpec deployment;
  private final StarvedJobs starvedJobs;
  private final long periodMs;
  private final SchedulingLoop scheduling;
  private final PagedStore pages;
  private long lastLogMs;
  private int oldestWaitSeconds;

  ShardStatusLog(
      EventLoop loop,
      ShardState state,
      DeploymentSpec deployment,
      StarvedJobs starvedJobs,
      long periodMs,
      SchedulingLoop scheduling,
      PagedStore pages) {
    this.loop = loop;
    this.state = state;
    this.deployment = deployment;
    this.starvedJobs = starvedJobs;
    this.periodMs = periodMs;
    this.scheduling = scheduling;
    this.pages = pages;
    this.lastLogMs = loop.nowMs();
  }

  /** The age in seconds of the oldest waiting job when last logged; 0 if none was waiting. */
  int oldestWaitSeconds() {
    return oldestWaitSeconds;
  }

  private boolean startPeriodIfDue(long nowMs) {
    if (nowMs - lastLogMs < periodMs) {
      return false;
    }
    lastLogMs = nowMs;
    return true;
  }

  /**
   * Logs that scheduling is suspended, if a period has passed. Called periodically while the leader
   * may not act.
   *
   * @param nowMs the current time (monotonic clock)
   * @param storeFailingMs how long the state service has not responded
   */
  void logSuspendedIfDue(long nowMs, long storeFailingMs) {
    if (startPeriodIfDue(nowMs)) {
      LOG.info(
          "scheduling suspended: shard={} token={} store_failing_s={} cause=\"lease not confirmed\"",
          state.shard(),
          state.token(),
          storeFailingMs / MS_PER_SECOND);
    }
  }

  /** Logs the status, if a period has passed. Called periodically while the leader may act. */
  void logIfDue(long nowMs) {
    if (startPeriodIfDue(nowMs)) {
      logStatus(nowMs);
      logOldestWaitingJob(nowMs);
    }
  }

  private void logStatus(long nowMs) {
    double waitingCores = 0;
    double placedCores = 0;
    for (Job job : state.jobs().all()) {
      waitingCores += job.waitingCount() * job.spec().cores();
      placedCores += job.placements().size() * job.spec().cores();
    }
    int up = 0;
    int booting = 0;
    int unavailable = 0;
    int atTaskLimit = 0;
    for (Machine machine : state.fleet().machines()) {
      boolean heartbeatReceived = machine.lastHeartbeatMs() >= 0;
      up += machine.usable(nowMs) ? 1 : 0;
      booting += heartbeatReceived ? 0 : 1;
      unavailable += heartbeatReceived && !machine.usable(nowMs) ? 1 : 0;
      atTaskLimit += machine.atTaskLimit() ? 1 : 0;
    }
    LOG.info(
        "shard status: shard={} jobs={} waiting_cores={} placed_cores={} machines_up={}"
            + " machines_booting={} machines_unavailable={} machines_at_task_limit={} cycle_ms={}"
            + " pages={} token={}",
        state.shard(),
        state.jobs().all().size(),
        Math.round(waitingCores),
        Math.round(placedCores),
        up,
        booting,
        unavailable,
        atTaskLimit,
        scheduling.lastCycleDurationMs(),
        pages.pagesInUse(),
        state.token());
  }

  private void logOldestWaitingJob(long nowMs) {
    Optional<OldestWaitingJob> oldest =
        OldestWaitingJob.find(state, deployment, starvedJobs, nowMs, loop.wallMs());
    oldestWaitSeconds = oldest.map(job -> (int) job.ageSeconds()).orElse(0);
    oldest.ifPresent(
        job ->
            LOG.info(
                "oldest waiting job: shard={} job={} age_s={} {}",
                state.shard(),
                job.uid(),
                oldestWaitSeconds,
                job.reason().toLogFields()));
  }
}
