package dev.windbend.machine;

/**
 * Times after which a machine counts as silent.
 *
 * @param heartbeatMs interval of the workers' heartbeats
 * @param leaseMs how long after its last renewal a worker's lease expires
 * @param silentMs how long a living machine sends no heartbeat at most
 */
record HealthThresholds(long heartbeatMs, long leaseMs, long silentMs) {
  /**
   * A worker that has lost a response waits 4 s for it and 1 s more, then asks a controller that
   * sends it on after up to half a second. One that is silent for longer than that and its interval
   * is gone or hangs.
   */
  static final long LOST_RESPONSE_MS = 6_500;

  /** A heartbeat may come so much later than its interval, as a multiple. */
  private static final double INTERVAL_SLACK = 1.25;

  /** A living machine that gets our responses sends heartbeats at least so often, in intervals. */
  private static final double MISSED_HEARTBEAT_INTERVALS = 1.3;

  static HealthThresholds of(double heartbeatSeconds, double leaseSeconds) {
    return new HealthThresholds(
        (long) (1000 * heartbeatSeconds),
        (long) (1000 * leaseSeconds),
        (long) (1000 * INTERVAL_SLACK * heartbeatSeconds) + LOST_RESPONSE_MS);
  }

  /** Whether a heartbeat is overdue after such a silence. */
  boolean missedHeartbeat(long silenceMs) {
    return silenceMs > MISSED_HEARTBEAT_INTERVALS * heartbeatMs;
  }

  /** Behind a network partition the tasks go on, so they get their whole lease. */
  boolean lostBehindPartition(long silenceMs) {
    return silenceMs > leaseMs + 2 * heartbeatMs;
  }
}
