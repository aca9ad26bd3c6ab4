package dev.windbend.zone;

/**
 * The state machine of one zone, fed with evidence: a pure function of what it is told and when. It
 * changes state only after evidence has held for a while, and the time from a loss to the return
 * doubles with each further loss, so a zone that flaps settles in {@link ZoneState#UNREACHABLE}.
 */
final class ZoneStateMachine {
  private static final long NONE = -1;

  /** A zone stays in its return for at least so many times the time after which its rate widens. */
  private static final int MIN_RETURN_INTERVALS = 2;

  private final ZonePolicy policy;
  private ZoneState state = ZoneState.HEALTHY;
  private long stateSinceMs;

  /** Losses that still count for the backoff. */
  private int losses;

  private long lostSinceMs = NONE;
  private long responsiveSinceMs = NONE;
  private long stableSinceMs;

  ZoneStateMachine(ZonePolicy policy, long nowMs) {
    this.policy = policy;
    this.stateSinceMs = nowMs;
    this.stableSinceMs = nowMs;
  }

  /** As a former owner left it, so long ago. */
  void restore(ZoneState recordedState, int recordedLosses, long stateAgeMs, long nowMs) {
    state = recordedState;
    losses = Math.max(0, recordedLosses);
    stateSinceMs = nowMs - Math.max(0, stateAgeMs);
  }

  ZoneState state() {
    return state;
  }

  long stateSinceMs() {
    return stateSinceMs;
  }

  int losses() {
    return losses;
  }

  /** The earliest time at which a lost zone may return. */
  long earliestReturnMs() {
    return stateSinceMs + policy.backoffMs(losses);
  }

  /**
   * Takes in what is known now.
   *
   * @param allMachinesUsable every machine of the zone is in use again
   * @return whether the state or the count of losses has changed
   */
  boolean observe(ZoneEvidence evidence, boolean allMachinesUsable, long nowMs) {
    lostSinceMs = conditionSinceMs(lostSinceMs, evidence.isZoneLost(), nowMs);
    responsiveSinceMs = conditionSinceMs(responsiveSinceMs, evidence.isMostlyResponsive(), nowMs);
    return switch (state) {
      case HEALTHY, DEGRADED -> observeInNormalOperation(evidence, nowMs);
      case UNREACHABLE -> observeUnreachable(nowMs);
      case RETURNING -> observeReturning(allMachinesUsable, nowMs);
    };
  }

  private static long conditionSinceMs(long sinceMs, boolean conditionHolds, long nowMs) {
    if (!conditionHolds) {
      return NONE;
    }
    return sinceMs == NONE ? nowMs : sinceMs;
  }

  private boolean observeInNormalOperation(ZoneEvidence evidence, long nowMs) {
    if (lostSinceMs != NONE && nowMs - lostSinceMs >= policy.lostAfterMs()) {
      return enterUnreachable(nowMs);
    }
    if (evidence.isPartlyLost()) {
      stableSinceMs = nowMs;
      return state == ZoneState.HEALTHY && enter(ZoneState.DEGRADED, nowMs);
    }
    if (state == ZoneState.DEGRADED) {
      return nowMs - stableSinceMs >= policy.returnAfterMs() && enter(ZoneState.HEALTHY, nowMs);
    }
    if (losses > 0 && nowMs - Math.max(stableSinceMs, stateSinceMs) >= policy.backoffDecayMs()) {
      losses--;
      stableSinceMs = nowMs;
      return true;
    }
    return false;
  }

  private boolean observeUnreachable(long nowMs) {
    return responsiveSinceMs != NONE
        && nowMs - responsiveSinceMs >= policy.returnAfterMs()
        && nowMs >= earliestReturnMs()
        && enter(ZoneState.RETURNING, nowMs);
  }

  private boolean observeReturning(boolean allMachinesUsable, long nowMs) {
    if (lostSinceMs != NONE) {
      // Waiting for certainty here would place more tasks where they are lost.
      return enterUnreachable(nowMs);
    }
    return allMachinesUsable
        && nowMs - stateSinceMs >= MIN_RETURN_INTERVALS * policy.rateDoublingMs()
        && enter(ZoneState.HEALTHY, nowMs);
  }

  private boolean enterUnreachable(long nowMs) {
    losses++;
    return enter(ZoneState.UNREACHABLE, nowMs);
  }

  private boolean enter(ZoneState next, long nowMs) {
    state = next;
    stateSinceMs = nowMs;
    stableSinceMs = nowMs;
    lostSinceMs = NONE;
    responsiveSinceMs = NONE;
    return true;
  }
}
