package dev.windbend.store;

import dev.windbend.runtime.EventLoop;

/** A token bucket of one second's worth that halves when told it was too fast and recovers. */
public final class Rate {
  private static final long ONCE_MS = 300;

  private final EventLoop loop;
  private final double most;
  private double perS;
  private double tokens;
  private long atMs;
  private long slowedMs = Long.MIN_VALUE / 2;

  public Rate(EventLoop loop, double perS) {
    this.loop = loop;
    this.most = perS;
    this.perS = perS;
    this.tokens = perS;
    this.atMs = loop.nowMs();
  }

  /** 0 if that many may go now, else how long to wait. A cost over the bucket needs it full. */
  public long waitMs(int cost) {
    refill();
    double need = Math.min(cost, burst()) - tokens;
    return need <= 1e-9 ? 0 : Math.max(1, (long) Math.ceil(need * 1000 / perS));
  }

  public void take(int cost) {
    refill();
    tokens -= cost;
  }

  /** For calls that must go at once; later ones pay for them. */
  public void force() {
    take(1);
  }

  /** Refusals of one moment count once. */
  public void slowDown() {
    refill();
    if (atMs - slowedMs < ONCE_MS) {
      return;
    }
    slowedMs = atMs;
    perS = Math.max(most / 8, perS / 2);
    tokens = Math.min(tokens, 0);
  }

  private double burst() {
    return Math.max(1, perS);
  }

  private void refill() {
    long now = loop.nowMs();
    double s = (now - atMs) / 1000.0;
    atMs = now;
    perS = Math.min(most, perS + s * most / 10);
    tokens = Math.min(burst(), tokens + s * perS);
  }
}
