package dev.windbend.store;

import dev.windbend.runtime.EventLoop;

/**
 * A token bucket for calls to a service with a rate limit. Its capacity is the number of tokens of
 * one second at the current rate, and at least 1. The rate is halved when the service rejects calls
 * for exceeding the limit, and then recovers linearly.
 */
public final class TokenBucket {
  /** Rejections within this time after a rate reduction do not reduce the rate again. */
  private static final long SLOW_DOWN_INTERVAL_MS = 300;

  private static final double SLOW_DOWN_FACTOR = 0.5;

  /** Lower bound of the rate, as a fraction of the full rate. */
  private static final double MIN_RATE_FRACTION = 1.0 / 8;

  /** Time in which the rate recovers from 0 to the full rate. */
  private static final double RECOVERY_SECONDS = 10;

  /** Maximum number of missing tokens that is attributed to rounding errors. */
  private static final double ROUNDING_TOLERANCE_TOKENS = 1e-9;

  private static final double MS_PER_SECOND = 1_000;

  private final EventLoop loop;
  private final double fullRatePerSecond;
  private double ratePerSecond;
  private double tokens;
  private long lastRefillMs;
  private long lastSlowDownMs = Long.MIN_VALUE / 2;

  /** Creates a full bucket with this full rate, in tokens per second. */
  public TokenBucket(EventLoop loop, double ratePerSecond) {
    this.loop = loop;
    this.fullRatePerSecond = ratePerSecond;
    this.ratePerSecond = ratePerSecond;
    this.tokens = ratePerSecond;
    this.lastRefillMs = loop.nowMs();
  }

  /**
   * Returns the time in milliseconds until {@code cost} tokens are available; 0 if they are
   * available now. A cost above the capacity requires a full bucket.
   */
  public long waitMs(int cost) {
    refill();
    double missing = Math.min(cost, capacity()) - tokens;
    return missing <= ROUNDING_TOLERANCE_TOKENS
        ? 0
        : Math.max(1, (long) Math.ceil(missing * MS_PER_SECOND / ratePerSecond));
  }

  /**
   * Takes {@code cost} tokens even if fewer are available. Calls that cannot wait may overdraw the
   * bucket; later calls then wait until the balance is restored.
   */
  public void take(int cost) {
    refill();
    tokens -= cost;
  }

  /**
   * Reduces the rate after the service rejected a call for exceeding its rate limit. Has no effect
   * within 300 ms after the last reduction.
   */
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
