package dev.windbend.zone;

/**
 * A token bucket of machines: how many of a returning zone may be used or rented. Its rate doubles
 * while all goes well, and begins anew when a machine that was taken back is lost.
 */
final class ReturnRamp {
  /** The bucket holds what comes in this time. */
  private static final double BURST_S = 2;

  /** Beyond that, a zone's return is bounded by the cloud and the reports. */
  private static final double FASTEST_PER_SECOND = 1_000;

  private static final double MS = 1_000;

  private final ZonePolicy policy;
  private double perSecond;
  private double tokens;
  private long filledMs;
  private long widenedMs;

  ReturnRamp(ZonePolicy policy) {
    this.policy = policy;
  }

  /** The return begins, or begins anew. */
  void restart(long nowMs) {
    perSecond = policy.returnPerSecond();
    tokens = 1;
    filledMs = nowMs;
    widenedMs = nowMs;
  }

  /** Time has passed without a loss. */
  void advance(long nowMs) {
    while (nowMs - widenedMs >= policy.widenMs() && perSecond < FASTEST_PER_SECOND) {
      fill(widenedMs + policy.widenMs());
      widenedMs += policy.widenMs();
      perSecond = Math.min(FASTEST_PER_SECOND, 2 * perSecond);
    }
    fill(nowMs);
  }

  private void fill(long nowMs) {
    if (nowMs > filledMs) {
      double most = Math.max(1, BURST_S * perSecond);
      tokens = Math.min(most, tokens + perSecond * (nowMs - filledMs) / MS);
      filledMs = nowMs;
    }
  }

  int available() {
    return (int) tokens;
  }

  /** Takes room for so many machines, as far as there is. */
  void take(int machines) {
    tokens = Math.max(0, tokens - machines);
  }
}
