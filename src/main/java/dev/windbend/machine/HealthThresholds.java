package dev.windbend.machine;

/**
 * Times after which a machine counts as silent.
 *
 * @param heartbeatIntervalMs interval of the workers' heartbeats
 * @param leaseMs how long after its last renewal a worker's lease expires
 * @param maxSilenceMs how long a living machine sends no heartbeat at most
 */
record HealthThresholds(long heartbeatIntervalMs, long leaseMs, long maxSilenceMs) {
  /**
   * A worker that has lost a response waits 4 s for it and 1 s more, then asks a controller that
   * sends it on after up to half a second. One that is silent for longer than that and its interval
   * is gone or hangs.
   */
  static final long LOST_RESPONSE_RECOVERY_MS = 6_500;

  /** A heartbeat may come so much later than its interval, as a multiple. */
  private static final double MAX_INTERVAL_FACTOR = 1.25;

  /** A living machine that gets our responses sends heartbeats at least so often, in intervals. */
  private static final double OVERDUE_INTERVAL_FACTOR = 1.3;

  static HealthThresholds fromSeconds(double heartbeatIntervalSeconds, double leaseSeconds) {
    return new HealthThresholds(
        (long) (1000 * heartbeatIntervalSeconds),
        (long) (1000 * leaseSeconds),
        (long) (1000 * MAX_INTERVAL_FACTOR * heartbeatIntervalSeconds) + LOST_RESPONSE_RECOVERY_MS);
  }

  /** Whether a heartbeat is overdue after such a silence. */
  boolean isHeartbeatOverdue(long silenceMs) {
    return silenceMs > OVERDUE_INTERVAL_FACTOR * heartbeatIntervalMs;
  }

  /** Behind a network partition the tasks go on, so they get their whole lease. */
  boolean isLostBehindPartition(long silenceMs) {
    return silenceMs > leaseMs + 2 * heartbeatIntervalMs;
  }
}
