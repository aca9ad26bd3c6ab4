package dev.windbend.worker;

/**
 * Intervals that rule heartbeats and their responses.
 *
 * @param heartbeatMs interval of a worker's heartbeats
 * @param leaseMs how long after the last renewal a worker's lease expires
 * @param idleHoldMs how long the response to a worker with nothing to do waits for work
 */
public record HeartbeatTiming(long heartbeatMs, long leaseMs, long idleHoldMs) {
  /** A worker discards a response after 4 s; this leaves time for the way and a slow controller. */
  static final long MAX_HOLD_MS = 2_600;

  /**
   * The timing that the deployment sets.
   *
   * @param idleHoldFraction part of the heartbeat interval for which a response waits for work
   */
  public static HeartbeatTiming of(
      double heartbeatSeconds, double leaseSeconds, double idleHoldFraction) {
    return new HeartbeatTiming(
        (long) (1000 * heartbeatSeconds),
        (long) (1000 * leaseSeconds),
        Math.min(MAX_HOLD_MS, (long) (1000 * heartbeatSeconds * idleHoldFraction)));
  }
}
