package dev.windbend.daemon;

import dev.windbend.shard.Policy;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads the operators' settings from an INI file. Each setting has a default. */
final class OperatorSettings {
  private static final String PLAN_SECTION = "plan";
  private static final String SHARD_SECTION = "shard";
  private static final String FORMER_SHARD_SECTION = "part";
  private static final String WORKER_SECTION = "worker";
  private static final double SECONDS_PER_DAY = 86_400;

  /** Literal values, so that a start without a settings file does not load the INI parser. */
  private static final Policy DEFAULTS =
      new Policy(10_000, true, 60_000, 4, 4_000, true, 0.7, ZoneSettings.DEFAULTS);

  private OperatorSettings() {}

  /** Returns the settings that apply without a file. */
  static Policy defaults() {
    return DEFAULTS;
  }

  /**
   * Reads and validates the file.
   *
   * @param zoneNames names of the deployment's zones
   */
  static Policy read(Path file, List<String> zoneNames) throws InvalidSettingsException {
    try {
      return parse(Files.readString(file), zoneNames);
    } catch (IOException e) {
      throw InvalidSettingsException.unreadable(file, e.getMessage(), e);
    } catch (InvalidSettingsException e) {
      throw e.withFile(file);
    }
  }

  /**
   * Parses and validates the text of a file.
   *
   * @param zoneNames names of the deployment's zones
   */
  static Policy parse(String text, List<String> zoneNames) throws InvalidSettingsException {
    IniFile ini = new IniFile(text);
    if (ini.hasSection(FORMER_SHARD_SECTION)) {
      throw InvalidSettingsException.renamedSection(FORMER_SHARD_SECTION, SHARD_SECTION);
    }
    return new Policy(
        ini.durationMs(PLAN_SECTION, "period_s", DEFAULTS.cyclePeriodMs(), 0.5, SECONDS_PER_DAY),
        ini.booleanValue(PLAN_SECTION, "rounds_on_events", DEFAULTS.eventDrivenCycles()),
        ini.durationMs(PLAN_SECTION, "block_s", DEFAULTS.billingBlockMs(), 1, SECONDS_PER_DAY),
        ini.doubleValue(
            PLAN_SECTION, "implied_due", DEFAULTS.impliedDeadlineFactor(), 1, SECONDS_PER_DAY),
        ini.durationMs(SHARD_SECTION, "hold_s", DEFAULTS.leaseTermMs(), 1, SECONDS_PER_DAY),
        ini.booleanValue(PLAN_SECTION, "due_from_aims", DEFAULTS.deadlinesFromObjectives()),
        ini.doubleValue(
            WORKER_SECTION, "idle_hold", DEFAULTS.idleHoldFraction(), 0, SECONDS_PER_DAY),
        ZoneSettings.read(ini, zoneNames));
  }
}
