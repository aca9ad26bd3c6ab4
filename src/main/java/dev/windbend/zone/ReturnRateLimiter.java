package dev.windbend.zone;

/**
 * A token bucket of machines: how many of a returning zone may be used or rented. Its rate doubles
 * while all goes well, and begins anew when a machine that was taken back is lost.
 */
final class ReturnRateLimiter {
  /** The bucket holds what comes in this time. */
  private static final double BURST_SECONDS = 2;

  /** Beyond that, a zone's return is bounded by the cloud and the reports. */
  private static final double MAX_RATE_PER_SECOND = 1_000;

  private static final double MS_PER_SECOND = 1_000;

  private final ZonePolicy policy;
  private double ratePerSecond;
  private double tokens;
  private long lastRefillMs;
  private long lastRateIncreaseMs;

  ReturnRateLimiter(ZonePolicy policy) {
    this.policy = policy;
  }

  /** The return begins, or begins anew. */
  void restart(long nowMs) {
    ratePerSecond = policy.initialReturnPerSecond();
    tokens = 1;
    lastRefillMs = nowMs;
    lastRateIncreaseMs = nowMs;
  }

  /** Time has passed without a loss. */
  void advance(long nowMs) {
    while (nowMs - lastRateIncreaseMs >= policy.rateDoublingMs()
        && ratePerSecond < MAX_RATE_PER_SECOND) {
      refill(lastRateIncreaseMs + policy.rateDoublingMs());
      lastRateIncreaseMs += policy.rateDoublingMs();
      ratePerSecond = Math.min(MAX_RATE_PER_SECOND, 2 * ratePerSecond);
    }
    refill(nowMs);
  }

  private void refill(long nowMs) {
    if (nowMs > lastRefillMs) {
      double maxTokens = Math.max(1, BURST_SECONDS * ratePerSecond);
      tokens = Math.min(maxTokens, tokens + ratePerSecond * (nowMs - lastRefillMs) / MS_PER_SECOND);
      lastRefillMs = nowMs;
    }
  }

  int availableMachines() {
    return (int) tokens;
  }

  /** Takes room for so many machines, as far as there is. */
  void consume(int machines) {
    tokens = Math.max(0, tokens - machines);
  }
}
