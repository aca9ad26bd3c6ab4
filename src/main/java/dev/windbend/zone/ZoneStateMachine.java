package dev.windbend.zone;

/**
 * The state machine of one zone. Its state depends only on the evidence passed in and the time of
 * each observation. Loss and return require evidence that has held for the configured time; the
 * loss of a returning zone and the change to {@link ZoneState#DEGRADED} take effect immediately.
 * The minimum time from a loss to the return doubles with each further loss, so a flapping zone
 * stays {@link ZoneState#UNREACHABLE} most of the time. Times are by the monotonic clock.
 */
final class ZoneStateMachine {
  private static final long NONE = -1;

  /** Minimum time in {@link ZoneState#RETURNING}, as a multiple of the rate's doubling interval. */
  private static final int MIN_RETURN_INTERVALS = 2;

  private final ZonePolicy policy;
  private ZoneState state = ZoneState.HEALTHY;
  private long stateSinceMs;

  /** Number of losses that have not decayed; determines the backoff. */
  private int losses;

  private long lostSinceMs = NONE;
  private long responsiveSinceMs = NONE;

  /** Latest time at which the state changed, a loss decayed or the zone was partly lost. */
  private long stableSinceMs;

  ZoneStateMachine(ZonePolicy policy, long nowMs) {
    this.policy = policy;
    this.stateSinceMs = nowMs;
    this.stableSinceMs = nowMs;
  }

  /**
   * Restores what the previous leader recorded.
   *
   * @param stateAgeMs how long ago the zone entered the state; negative values count as 0
   */
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

  /** Returns the earliest time at which an unreachable zone may start to return. */
  long earliestReturnMs() {
    return stateSinceMs + policy.backoffMs(losses);
  }

  /**
   * Updates the state from the current evidence.
   *
   * @param allMachinesUsable whether every machine of the zone is open to new work
   * @return whether the state or the number of losses has changed
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

  /** Returns since when a condition has held without interruption; {@link #NONE} if it does not. */
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
      // Skips the usual delay, during which more tasks would be placed on lost machines.
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
