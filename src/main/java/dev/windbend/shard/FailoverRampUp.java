package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.runtime.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Keeps the first scheduling cycles after a failover from holding up what is more urgent.
 * Heartbeats are answered first, as workers' leases expire and the state of tasks is rebuilt from
 * them; cycles then consider few jobs, and twice as many each time. A controller that has just
 * started runs code that is not compiled yet, so a cycle over all jobs could outlast its lease.
 */
final class FailoverRampUp {
  /**
   * How long machines are waited for, in heartbeat intervals. Heartbeats come up to a quarter early
   * or late; a machine that has not sent one by then may be lost.
   */
  private static final double MAX_WAIT_HEARTBEAT_INTERVALS = 1.5;

  private static final int FIRST_CYCLE_JOBS = 8;

  /** More jobs than there can be: the limit grows no further. */
  private static final int MAX_JOB_LIMIT = 1 << 29;

  private static final Comparator<Job> MOST_URGENT_FIRST =
      Comparator.<Job>comparingInt(job -> job.spec().urgency().rank())
          .thenComparingLong(job -> job.submittedWallMs());

  private final EventLoop loop;
  private final long maxWaitMs;
  private long startedMs;
  private boolean schedulingAllowed;
  private int jobLimit = FIRST_CYCLE_JOBS;

  FailoverRampUp(EventLoop loop, double heartbeatSeconds) {
    this.loop = loop;
    this.maxWaitMs = (long) (Units.MS_PER_SECOND * MAX_WAIT_HEARTBEAT_INTERVALS * heartbeatSeconds);
  }

  /** The shard's records have been read: from now on its machines' heartbeats are waited for. */
  void start() {
    startedMs = loop.nowMs();
  }

  /**
   * Whether cycles may run: once all machines taken over have sent a heartbeat, or have been waited
   * for long enough, and from then on for good.
   *
   * @param allMachinesConfirmed asked only while that is open
   */
  boolean maySchedule(BooleanSupplier allMachinesConfirmed) {
    schedulingAllowed =
        schedulingAllowed
            || loop.nowMs() - startedMs >= maxWaitMs
            || allMachinesConfirmed.getAsBoolean();
    return schedulingAllowed;
  }

  /** The jobs that the next cycle considers: the most urgent, up to the limit, which doubles. */
  List<Job> nextCycleJobs(List<Job> waiting) {
    int limit = jobLimit;
    jobLimit = Math.min(MAX_JOB_LIMIT, 2 * jobLimit);
    if (waiting.size() <= limit) {
      return waiting;
    }
    List<Job> mostUrgent = new ArrayList<>(waiting);
    mostUrgent.sort(MOST_URGENT_FIRST);
    return mostUrgent.subList(0, limit);
  }
}
