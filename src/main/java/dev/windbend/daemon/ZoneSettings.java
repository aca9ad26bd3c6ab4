package dev.windbend.daemon;

import dev.windbend.zone.ZonePolicy;
import java.util.List;

/** Reads the operators' settings for the detection of lost zones and for their return. */
final class ZoneSettings {
  private static final String SECTION = "zone";
  private static final double SECONDS_PER_MINUTE = 60;
  private static final double SECONDS_PER_HOUR = 3_600;
  private static final double SECONDS_PER_DAY = 86_400;
  private static final double MS_PER_SECOND = 1_000;
  private static final double MAX_STATE_CHANGE_DELAY_SECONDS = 10 * SECONDS_PER_MINUTE;
  private static final double MIN_MACHINES_RETURNED_PER_SECOND = 0.01;
  private static final double MAX_MACHINES_RETURNED_PER_SECOND = 1_000;

  /** Settings that apply if the section is missing. */
  static final ZonePolicy DEFAULTS =
      new ZonePolicy(false, List.of(), 3_000, 3_000, 10_000, 300_000, 600_000, 5, 5_000);

  private ZoneSettings() {}

  /**
   * Reads and validates the section.
   *
   * @param zoneNames names of the deployment's zones
   */
  static ZonePolicy read(IniFile ini, List<String> zoneNames) throws InvalidSettingsException {
    List<String> monitored = monitoredZones(ini, zoneNames);
    long backoffMs = durationMs(ini, "backoff_s", DEFAULTS.minBackoffMs(), 1, SECONDS_PER_HOUR);
    return new ZonePolicy(
        ini.booleanValue(SECTION, "enabled", DEFAULTS.enabled()),
        monitored,
        durationMs(ini, "lost_after_s", DEFAULTS.lostAfterMs(), 0, MAX_STATE_CHANGE_DELAY_SECONDS),
        durationMs(
            ini, "return_after_s", DEFAULTS.returnAfterMs(), 0, MAX_STATE_CHANGE_DELAY_SECONDS),
        backoffMs,
        durationMs(
            ini,
            "longest_backoff_s",
            Math.max(backoffMs, DEFAULTS.maxBackoffMs()),
            backoffMs / MS_PER_SECOND,
            SECONDS_PER_DAY),
        durationMs(ini, "decay_s", DEFAULTS.backoffDecayMs(), 1, SECONDS_PER_DAY),
        ini.doubleValue(
            SECTION,
            "return_per_s",
            DEFAULTS.initialReturnPerSecond(),
            MIN_MACHINES_RETURNED_PER_SECOND,
            MAX_MACHINES_RETURNED_PER_SECOND),
        durationMs(ini, "widen_s", DEFAULTS.rateDoublingMs(), 1, SECONDS_PER_HOUR));
  }

  private static List<String> monitoredZones(IniFile ini, List<String> zoneNames)
      throws InvalidSettingsException {
    List<String> monitored = ini.nameList(SECTION, "zones");
    for (String name : monitored) {
      if (!zoneNames.contains(name)) {
        throw InvalidSettingsException.invalidValue(
            SECTION,
            "zones",
            "zones of the deployment, which are " + String.join(", ", zoneNames),
            name);
      }
    }
    return monitored;
  }

  private static long durationMs(
      IniFile ini, String key, long defaultMs, double minSeconds, double maxSeconds)
      throws InvalidSettingsException {
    return ini.durationMs(SECTION, key, defaultMs, minSeconds, maxSeconds);
  }
}
