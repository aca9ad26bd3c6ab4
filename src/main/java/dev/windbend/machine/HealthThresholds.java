package dev.windbend.machine;

/**
 * Time limits of the heartbeats, after which a machine counts as silent or lost.
 *
 * @param heartbeatIntervalMs interval of the workers' heartbeats
 * @param leaseMs duration of a worker's lease, counted from its last renewal
 * @param maxSilenceMs maximum time between two heartbeats of a running worker
 */
record HealthThresholds(long heartbeatIntervalMs, long leaseMs, long maxSilenceMs) {
  /**
   * Time a worker needs to recover from a lost response: it waits 4 s for the response and another
   * 1 s, then contacts a controller that forwards its heartbeat after up to 0.5 s. A worker that is
   * silent for longer than this and its heartbeat interval has terminated or hangs.
   */
  static final long LOST_RESPONSE_RECOVERY_MS = 6_500;

  /** Maximum time between two heartbeats if no response is lost, in heartbeat intervals. */
  private static final double MAX_INTERVAL_FACTOR = 1.25;

  /** Time after which the heartbeat of a running, reachable worker is overdue, in intervals. */
  private static final double OVERDUE_INTERVAL_FACTOR = 1.3;

  /** Creates thresholds from the heartbeat interval and the lease duration. */
  static HealthThresholds fromSeconds(double heartbeatIntervalSeconds, double leaseSeconds) {
    return new HealthThresholds(
        (long) (1000 * heartbeatIntervalSeconds),
        (long) (1000 * leaseSeconds),
        (long) (1000 * MAX_INTERVAL_FACTOR * heartbeatIntervalSeconds) + LOST_RESPONSE_RECOVERY_MS);
  }

  /** Whether a heartbeat is overdue this long after the previous one. */
  boolean isHeartbeatOverdue(long silenceMs) {
    return silenceMs > OVERDUE_INTERVAL_FACTOR * heartbeatIntervalMs;
  }

  /**
   * Whether a machine behind a network partition counts as lost. Its tasks keep running, so it is
   * kept for its whole lease.
   */
  boolean isLostBehindPartition(long silenceMs) {
    return silenceMs > leaseMs + 2 * heartbeatIntervalMs;
  }
}
