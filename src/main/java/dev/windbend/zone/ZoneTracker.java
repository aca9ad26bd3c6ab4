package dev.windbend.zone;

/**
 * The state machine of one zone, fed with evidence: a pure function of what it is told and when. It
 * changes state only after evidence has held for a while, and the time from a loss to the return
 * doubles with each further loss, so a zone that flaps settles in {@link ZoneState#UNREACHABLE}.
 */
final class ZoneTracker {
  private static final long NONE = -1;

  /** A zone stays in its return for at least so many times the time after which its rate widens. */
  private static final int SHORTEST_RETURN = 2;

  private final ZonePolicy policy;
  private ZoneState state = ZoneState.HEALTHY;
  private long sinceMs;

  /** Losses that still count for the backoff. */
  private int losses;

  private long lostSinceMs = NONE;
  private long heardSinceMs = NONE;
  private long calmSinceMs;

  ZoneTracker(ZonePolicy policy, long nowMs) {
    this.policy = policy;
    this.sinceMs = nowMs;
    this.calmSinceMs = nowMs;
  }

  /** As a former owner left it, so long ago. */
  void restore(ZoneState formerState, int formerLosses, long agoMs, long nowMs) {
    state = formerState;
    losses = Math.max(0, formerLosses);
    sinceMs = nowMs - Math.max(0, agoMs);
  }

  ZoneState state() {
    return state;
  }

  long sinceMs() {
    return sinceMs;
  }

  int losses() {
    return losses;
  }

  /** The earliest time at which a lost zone may return. */
  long returnNotBeforeMs() {
    return sinceMs + policy.backoffMs(losses);
  }

  /**
   * Takes in what is known now.
   *
   * @param allBack every machine of the zone is in use again
   * @return whether the state or the count of losses has changed
   */
  boolean observe(ZoneEvidence evidence, boolean allBack, long nowMs) {
    lostSinceMs = since(lostSinceMs, evidence.zoneLost(), nowMs);
    heardSinceMs = since(heardSinceMs, evidence.mostlyHeard(), nowMs);
    return switch (state) {
      case HEALTHY, DEGRADED -> watch(evidence, nowMs);
      case UNREACHABLE -> awaitReturn(nowMs);
      case RETURNING -> takeBack(allBack, nowMs);
    };
  }

  private static long since(long sinceMs, boolean holds, long nowMs) {
    if (!holds) {
      return NONE;
    }
    return sinceMs == NONE ? nowMs : sinceMs;
  }

  private boolean watch(ZoneEvidence evidence, long nowMs) {
    if (lostSinceMs != NONE && nowMs - lostSinceMs >= policy.lostAfterMs()) {
      return lose(nowMs);
    }
    if (evidence.partlyLost()) {
      calmSinceMs = nowMs;
      return state == ZoneState.HEALTHY && enter(ZoneState.DEGRADED, nowMs);
    }
    if (state == ZoneState.DEGRADED) {
      return nowMs - calmSinceMs >= policy.returnAfterMs() && enter(ZoneState.HEALTHY, nowMs);
    }
    if (losses > 0 && nowMs - Math.max(calmSinceMs, sinceMs) >= policy.decayMs()) {
      losses--;
      calmSinceMs = nowMs;
      return true;
    }
    return false;
  }

  private boolean awaitReturn(long nowMs) {
    return heardSinceMs != NONE
        && nowMs - heardSinceMs >= policy.returnAfterMs()
        && nowMs >= returnNotBeforeMs()
        && enter(ZoneState.RETURNING, nowMs);
  }

  private boolean takeBack(boolean allBack, long nowMs) {
    if (lostSinceMs != NONE) {
      // Waiting for certainty here would place more tasks where they are lost.
      return lose(nowMs);
    }
    return allBack
        && nowMs - sinceMs >= SHORTEST_RETURN * policy.widenMs()
        && enter(ZoneState.HEALTHY, nowMs);
  }

  private boolean lose(long nowMs) {
    losses++;
    return enter(ZoneState.UNREACHABLE, nowMs);
  }

  private boolean enter(ZoneState next, long nowMs) {
    state = next;
    sinceMs = nowMs;
    calmSinceMs = nowMs;
    lostSinceMs = NONE;
    heardSinceMs = NONE;
    return true;
  }
}
