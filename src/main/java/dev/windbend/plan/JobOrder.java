package dev.windbend.plan;

import java.util.Comparator;

/** In which order a cycle serves jobs. */
final class JobOrder {
  /** A job must begin within four minutes of its submission; at half of that it goes first. */
  private static final long MUST_START_AGE_MS = 120_000;

  /** Older jobs have waited for long. */
  private static final long LONG_WAITING_AGE_MS = 240_000;

  /** Serving the least work first would leave the largest job for ever if capacity is short. */
  static final Comparator<JobCursor> OLDEST_FIRST =
      Comparator.comparingLong(cursor -> -cursor.job().progress().ageMs());

  /**
   * By priority; then those that can still meet a deadline, those displaced with their zone (by
   * deadline and slack), and the least work first.
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

  /** Whether tasks of the job may be placed in this cycle. */
  static boolean eligible(PendingJob job, long nowMs) {
    return job.progress().waiting() > 0 && job.constraints().notBeforeMs() <= nowMs;
  }

  static boolean mustStart(PendingJob job) {
    return !job.progress().everStarted() && job.progress().ageMs() >= MUST_START_AGE_MS;
  }

  static boolean longWaiting(PendingJob job) {
    return job.progress().ageMs() >= LONG_WAITING_AGE_MS;
  }
}
