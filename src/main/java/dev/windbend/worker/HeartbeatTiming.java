package dev.windbend.worker;

/**
 * Intervals that govern heartbeats and their responses.
 *
 * @param heartbeatMs interval of a worker's heartbeats
 * @param leaseMs time from the last renewal of a worker's lease until it expires
 * @param idleHoldMs maximum time for which the response to a worker without pending commands is
 *     held
 */
public record HeartbeatTiming(long heartbeatMs, long leaseMs, long idleHoldMs) {
  /**
   * Maximum time for which a response is held. A worker discards a response after 4 s; the
   * difference allows for network latency and a slow controller.
   */
  static final long MAX_HOLD_MS = 2_600;

  /**
   * Creates the timing from the settings.
   *
   * @param idleHoldFraction fraction of the heartbeat interval for which a response is held until a
   *     task is placed
   */
  public static HeartbeatTiming of(
      double heartbeatSeconds, double leaseSeconds, double idleHoldFraction) {
    return new HeartbeatTiming(
        (long) (1000 * heartbeatSeconds),
        (long) (1000 * leaseSeconds),
        Math.min(MAX_HOLD_MS, (long) (1000 * heartbeatSeconds * idleHoldFraction)));
  }
}
