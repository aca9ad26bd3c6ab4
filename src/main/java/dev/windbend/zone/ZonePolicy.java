package dev.windbend.zone;

import java.util.List;

/**
 * The operators' settings for zone monitoring.
 *
 * @param enabled whether zones are monitored; if not, lost machines are handled one by one
 * @param monitoredZones names of the monitored zones; empty: all zones
 * @param lostAfterMs for how long nearly all of a zone's machines must be lost before the zone
 *     becomes unreachable
 * @param returnAfterMs for how long most of its machines must be responsive before the zone returns
 * @param minBackoffMs minimum time from a zone's first loss to its return; doubled with each
 *     further loss
 * @param maxBackoffMs upper bound of the doubled backoff
 * @param backoffDecayMs the backoff is halved each time the zone has been healthy for this long
 * @param initialReturnPerSecond initial rate at which machines of a returning zone are reopened or
 *     created
 * @param rateDoublingMs interval without a lost machine after which the rate is doubled
 */
public record ZonePolicy(
    boolean enabled,
    List<String> monitoredZones,
    long lostAfterMs,
    long returnAfterMs,
    long minBackoffMs,
    long maxBackoffMs,
    long backoffDecayMs,
    double initialReturnPerSecond,
    long rateDoublingMs) {

  /** Returns whether the zone is monitored. */
  boolean isMonitored(String zone) {
    return enabled && (monitoredZones.isEmpty() || monitoredZones.contains(zone));
  }

  /**
   * Returns the minimum time from a zone's loss to its return.
   *
   * @param losses number of losses that have not decayed
   */
  long backoffMs(int losses) {
    long doubledBackoffMs = minBackoffMs;
    for (int i = 1; i < losses && doubledBackoffMs < maxBackoffMs; i++) {
      doubledBackoffMs *= 2;
    }
    return Math.min(doubledBackoffMs, maxBackoffMs);
  }
}
