package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.runtime.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Limits the first scheduling cycles after a failover, so that they do not delay more urgent work.
 * Heartbeats are handled first, because workers' leases would expire otherwise and because the
 * state of tasks is rebuilt from heartbeats. The first cycle then considers few jobs, and each
 * later one twice as many. A controller that has just started runs code that is not JIT-compiled
 * yet, so a cycle over all jobs could take longer than the term of its lease.
 */
final class FailoverRampUp {
  /**
   * Maximum time to wait for heartbeats, in heartbeat intervals. A heartbeat may be early or late
   * by a quarter of the interval; a machine that has sent none within this time may be lost.
   */
  private static final double MAX_WAIT_HEARTBEAT_INTERVALS = 1.5;

  private static final int FIRST_CYCLE_JOBS = 8;

  /** Upper bound of the job limit; a shard never has this many jobs. */
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

  /** Starts to wait for the machines' heartbeats. Called when the shard's records are restored. */
  void start() {
    startedMs = loop.nowMs();
  }

  /**
   * Whether scheduling cycles may run. They may once every inherited machine is confirmed by a
   * heartbeat or the maximum wait has passed; after that the result stays true.
   *
   * @param allMachinesConfirmed whether every inherited machine is confirmed; not evaluated once
   *     the result is known to be true
   */
  boolean maySchedule(BooleanSupplier allMachinesConfirmed) {
    schedulingAllowed =
        schedulingAllowed
            || loop.nowMs() - startedMs >= maxWaitMs
            || allMachinesConfirmed.getAsBoolean();
    return schedulingAllowed;
  }

  /** Returns the most urgent of the waiting jobs, up to the job limit, and doubles the limit. */
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
