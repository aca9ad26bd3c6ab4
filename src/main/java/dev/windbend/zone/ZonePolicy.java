package dev.windbend.zone;

import java.util.List;

/**
 * The operators' settings for zones.
 *
 * @param enabled whether zones are looked after at all; if not, machines are judged one by one
 * @param monitoredZones names of the zones looked after; empty: all
 * @param lostAfterMs for how long nearly all of a zone's machines must be lost before the zone is
 *     taken for unreachable
 * @param returnAfterMs for how long most of them must be heard again before the zone returns
 * @param minBackoffMs the least time from a zone's loss to its return; doubled with each further
 *     loss
 * @param maxBackoffMs its bound
 * @param backoffDecayMs a healthy zone's backoff is halved each time it has been healthy for this
 *     long
 * @param initialReturnPerSecond how many machines a second are taken back at first
 * @param rateDoublingMs the rate is doubled after each such time without a lost machine
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

  /** Whether a zone is looked after. */
  boolean isMonitored(String zone) {
    return enabled && (monitoredZones.isEmpty() || monitoredZones.contains(zone));
  }

  /** The least time from a zone's loss to its return, after so many losses that still count. */
  long backoffMs(int losses) {
    long doubledBackoffMs = minBackoffMs;
    for (int i = 1; i < losses && doubledBackoffMs < maxBackoffMs; i++) {
      doubledBackoffMs *= 2;
    }
    return Math.min(doubledBackoffMs, maxBackoffMs);
  }
}
