package dev.windbend.daemon;

import dev.windbend.zone.ZonePolicy;
import java.util.List;

/** The section of the operators' settings on zones. */
final class ZoneSettings {
  private static final String SECTION = "zone";
  private static final double MINUTE_S = 60;
  private static final double HOUR_S = 3_600;
  private static final double DAY_S = 86_400;
  private static final double MOST_PER_SECOND = 1_000;

  static final ZonePolicy DEFAULTS =
      new ZonePolicy(false, List.of(), 3_000, 3_000, 10_000, 300_000, 600_000, 5, 5_000);

  private ZoneSettings() {}

  /**
   * Reads the section.
   *
   * @param zones the names of the zones that the deployment has
   */
  static ZonePolicy read(IniFile ini, List<String> zones) throws Settings.Invalid {
    List<String> watched = ini.names(SECTION, "zones");
    for (String name : watched) {
      if (!zones.contains(name)) {
        throw new Settings.Invalid(
            "[%s] zones must be zones of the deployment, which are %s: %s"
                .formatted(SECTION, String.join(", ", zones), name));
      }
    }
    long backoffMs = ini.millis(SECTION, "backoff_s", DEFAULTS.backoffMs(), 1, HOUR_S);
    return new ZonePolicy(
        ini.flag(SECTION, "enabled", DEFAULTS.enabled()),
        watched,
        ini.millis(SECTION, "lost_after_s", DEFAULTS.lostAfterMs(), 0, 10 * MINUTE_S),
        ini.millis(SECTION, "return_after_s", DEFAULTS.returnAfterMs(), 0, 10 * MINUTE_S),
        backoffMs,
        ini.millis(
            SECTION,
            "longest_backoff_s",
            Math.max(backoffMs, DEFAULTS.longestBackoffMs()),
            backoffMs / 1000.0,
            DAY_S),
        ini.millis(SECTION, "decay_s", DEFAULTS.decayMs(), 1, DAY_S),
        ini.number(SECTION, "return_per_s", DEFAULTS.returnPerSecond(), 0.01, MOST_PER_SECOND),
        ini.millis(SECTION, "widen_s", DEFAULTS.widenMs(), 1, HOUR_S));
  }
}
