package dev.windbend.store;

import dev.windbend.runtime.EventLoop;

/**
 * A token bucket for calls under another service's rate limit. It holds at most one second's worth
 * of tokens, halves its rate when the service refuses calls as too frequent, and recovers linearly.
 */
public final class TokenBucket {
  /** Refusals within this time of one that slowed the bucket down are of the same moment. */
  private static final long SLOW_DOWN_INTERVAL_MS = 300;

  private static final double SLOW_DOWN_FACTOR = 0.5;

  /** The rate never falls below this share of the full one. */
  private static final double MIN_RATE_FRACTION = 1.0 / 8;

  /** From nothing to the full rate. */
  private static final double RECOVERY_SECONDS = 10;

  /** Tokens missing by no more than this are due to rounding. */
  private static final double ROUNDING_TOLERANCE_TOKENS = 1e-9;

  private static final double MS_PER_SECOND = 1_000;

  private final EventLoop loop;
  private final double fullRatePerSecond;
  private double ratePerSecond;
  private double tokens;
  private long lastRefillMs;
  private long lastSlowDownMs = Long.MIN_VALUE / 2;

  /** A full bucket at its full rate, in tokens a second. */
  public TokenBucket(EventLoop loop, double ratePerSecond) {
    this.loop = loop;
    this.fullRatePerSecond = ratePerSecond;
    this.ratePerSecond = ratePerSecond;
    this.tokens = ratePerSecond;
    this.lastRefillMs = loop.nowMs();
  }

  /**
   * How many milliseconds to wait for so many tokens; 0: they may be taken now. A cost above the
   * bucket's size needs it full.
   */
  public long waitMs(int cost) {
    refill();
    double missing = Math.min(cost, capacity()) - tokens;
    return missing <= ROUNDING_TOLERANCE_TOKENS
        ? 0
        : Math.max(1, (long) Math.ceil(missing * MS_PER_SECOND / ratePerSecond));
  }

  /**
   * Takes so many tokens, whether or not they are there: calls that can't wait go at once, and
   * later ones wait until the debt is made up for.
   */
  public void take(int cost) {
    refill();
    tokens -= cost;
  }

  /** The service refused a call as too frequent. Refusals of one moment count once. */
  public void slowDown() {
    refill();
    if (lastRefillMs - lastSlowDownMs < SLOW_DOWN_INTERVAL_MS) {
      return;
    }
    lastSlowDownMs = lastRefillMs;
    ratePerSecond =
        Math.max(fullRatePerSecond * MIN_RATE_FRACTION, ratePerSecond * SLOW_DOWN_FACTOR);
    tokens = Math.min(tokens, 0);
  }

  private double capacity() {
    return Math.max(1, ratePerSecond);
  }

  private void refill() {
    long now = loop.nowMs();
    double elapsedSeconds = (now - lastRefillMs) / MS_PER_SECOND;
    lastRefillMs = now;
    ratePerSecond =
        Math.min(
            fullRatePerSecond,
            ratePerSecond + elapsedSeconds * fullRatePerSecond / RECOVERY_SECONDS);
    tokens = Math.min(capacity(), tokens + elapsedSeconds * ratePerSecond);
  }
}
