package dev.windbend.zone;

import java.util.List;

/**
 * The operators' settings for zones.
 *
 * @param enabled whether zones are looked after at all; if not, machines are judged one by one
 * @param watched names of the zones looked after; empty: all
 * @param lostAfterMs for how long nearly all of a zone's machines must be lost before the zone is
 *     taken for unreachable
 * @param returnAfterMs for how long most of them must be heard again before the zone returns
 * @param backoffMs the least time from a zone's loss to its return; doubled with each further loss
 * @param longestBackoffMs its bound
 * @param decayMs a healthy zone's backoff is halved each time it has been healthy for this long
 * @param returnPerSecond how many machines a second are taken back at first
 * @param widenMs the rate is doubled after each such time without a lost machine
 */
public record ZonePolicy(
    boolean enabled,
    List<String> watched,
    long lostAfterMs,
    long returnAfterMs,
    long backoffMs,
    long longestBackoffMs,
    long decayMs,
    double returnPerSecond,
    long widenMs) {

  /** Whether a zone is looked after. */
  boolean watches(String zone) {
    return enabled && (watched.isEmpty() || watched.contains(zone));
  }

  /** The least time from a zone's loss to its return, after so many losses that still count. */
  long backoffMs(int losses) {
    long backoff = backoffMs;
    for (int i = 1; i < losses && backoff < longestBackoffMs; i++) {
      backoff *= 2;
    }
    return Math.min(backoff, longestBackoffMs);
  }
}
