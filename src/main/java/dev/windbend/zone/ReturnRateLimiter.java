package dev.windbend.zone;

/**
 * Token bucket that limits how many machines of a returning zone are opened to new work or created.
 * Its rate doubles at intervals without a loss, and is reset to the initial rate when machines of
 * the zone are lost again. Times are by the monotonic clock.
 */
final class ReturnRateLimiter {
  /** The bucket's capacity is the number of tokens added in this time. */
  private static final double BURST_SECONDS = 2;

  /** Higher rates have no effect: the cloud and the workers' heartbeats limit a zone's return. */
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

  /** Resets the limiter to the initial rate and one token. */
  void restart(long nowMs) {
    ratePerSecond = policy.initialReturnPerSecond();
    tokens = 1;
    lastRefillMs = nowMs;
    lastRateIncreaseMs = nowMs;
  }

  /** Adds tokens and doubles the rate for the time that has passed without a loss. */
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

  /** Returns how many machines may be opened or created now. */
  int availableMachines() {
    return (int) tokens;
  }

  /** Removes a token for each of these machines, down to zero tokens. */
  void consume(int machines) {
    tokens = Math.max(0, tokens - machines);
  }
}
