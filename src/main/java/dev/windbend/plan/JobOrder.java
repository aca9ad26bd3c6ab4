package dev.windbend.plan;

import java.util.Comparator;

/** Orders in which a cycle serves jobs, and the age limits that decide on precedence. */
final class JobOrder {
  /**
   * A job must start within four minutes of its submission; it is served first from half of that
   * time.
   */
  private static final long MUST_START_AGE_MS = 120_000;

  /** Jobs of at least this age count as long-waiting. */
  private static final long LONG_WAITING_AGE_MS = 240_000;

  /**
   * Oldest job first. With the least work first, the largest job would starve while capacity is
   * short.
   */
  static final Comparator<JobCursor> OLDEST_FIRST =
      Comparator.comparingLong(cursor -> -cursor.job().progress().ageMs());

  /**
   * By priority; within a priority, jobs that can still meet a deadline first, then displaced jobs
   * (by deadline, then by latest start time), then jobs with the least waiting work.
   */
  static final Comparator<JobCursor> MOST_URGENT_FIRST =
      Comparator.<JobCursor>comparingInt(cursor -> cursor.job().rank())
          .thenComparing(cursor -> cursor.job().objectives().unattainable())
          .thenComparing(cursor -> !cursor.job().progress().displaced())
          .thenComparingLong(JobOrder::dueMsIfDisplaced)
          .thenComparingLong(JobOrder::latestStartMsIfDisplaced)
          .thenComparingDouble(cursor -> cursor.job().waitingWork());

  private JobOrder() {}

  private static long dueMsIfDisplaced(JobCursor cursor) {
    PendingJob job = cursor.job();
    return job.progress().displaced() ? job.objectives().dueMs() : 0;
  }

  private static long latestStartMsIfDisplaced(JobCursor cursor) {
    PendingJob job = cursor.job();
    return job.progress().displaced()
        ? job.objectives().dueMs() - job.requirements().estimatedRunTimeMs()
        : 0;
  }

  /** Whether the job has waiting tasks that may be placed in this cycle. */
  static boolean eligible(PendingJob job, long nowMs) {
    return job.progress().waiting() > 0 && job.constraints().notBeforeMs() <= nowMs;
  }

  /** Whether no task of the job was ever started and the job is old enough to be served first. */
  static boolean mustStart(PendingJob job) {
    return !job.progress().everStarted() && job.progress().ageMs() >= MUST_START_AGE_MS;
  }

  static boolean longWaiting(PendingJob job) {
    return job.progress().ageMs() >= LONG_WAITING_AGE_MS;
  }
}
