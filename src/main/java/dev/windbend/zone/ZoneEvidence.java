package dev.windbend.zone;

/**
 * Numbers of a zone's machines by condition, as a shard's leader observes them at one time. A
 * machine is lost if it is silent or unresponsive.
 *
 * @param responsive machines that send heartbeats and show the effect of the leader's responses
 * @param silent machines whose heartbeat is overdue
 * @param unresponsive machines that send heartbeats but show no effect of the leader's responses
 * @param inconclusive whether a lost zone cannot be distinguished from a controller that is
 *     isolated or too slow to receive heartbeats, because the other zones' machines are mostly lost
 *     too or there are none
 */
public record ZoneEvidence(int responsive, int silent, int unresponsive, boolean inconclusive) {
  /**
   * Minimum number of lost machines; the loss of a single machine does not indicate a zone loss.
   */
  private static final int MIN_LOST_MACHINES = 2;

  /** A zone is lost if it has more than this many lost machines per responsive machine. */
  private static final int MIN_LOST_PER_RESPONSIVE = 2;

  /** A zone is degraded if at least one in this many known machines is lost. */
  private static final int MAX_KNOWN_PER_LOST = 4;

  /** Returns the number of machines that the leader cannot control at present. */
  public int lost() {
    return silent + unresponsive;
  }

  /** Returns the number of machines whose condition is known; booting machines do not count. */
  public int known() {
    return responsive + lost();
  }

  /**
   * Returns whether nearly all machines of the zone are lost at once. When the cloud reclaims many
   * spot machines together, a smaller part of the zone is lost.
   */
  boolean isZoneLost() {
    return !inconclusive
        && lost() >= MIN_LOST_MACHINES
        && lost() > MIN_LOST_PER_RESPONSIVE * responsive;
  }

  /** Returns whether enough machines are lost to consider the zone degraded. */
  boolean isPartlyLost() {
    return !inconclusive && lost() >= MIN_LOST_MACHINES && MAX_KNOWN_PER_LOST * lost() >= known();
  }

  /**
   * Returns whether most machines are responsive. Also true if no machine is known: only new
   * machines can then show whether the zone is back.
   */
  boolean isMostlyResponsive() {
    return known() == 0 || responsive > lost();
  }

  /** Formats the counts as fields of a log line. */
  @Override
  public String toString() {
    return "heard=%d silent=%d deaf=%d%s"
        .formatted(
            responsive,
            silent,
            unresponsive,
            inconclusive ? " cause=\"controller may be isolated\"" : "");
  }
}
