package dev.windbend.daemon;

import dev.windbend.shard.Policy;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads the operators' own settings, an INI file; each has a default. */
final class OperatorSettings {
  private static final String PLAN = "plan";
  private static final String SHARD = "shard";
  private static final String FORMER_SHARD = "part";
  private static final String WORKER = "worker";
  private static final double SECONDS_PER_DAY = 86_400;

  /** Written out here, so that a start without such a file loads no INI reader. */
  private static final Policy DEFAULTS =
      new Policy(10_000, true, 60_000, 4, 4_000, true, 0.7, ZoneSettings.DEFAULTS);

  private OperatorSettings() {}

  /** What holds without a file. */
  static Policy defaults() {
    return DEFAULTS;
  }

  /**
   * Reads the file.
   *
   * @param zones the names of the zones that the deployment has
   */
  static Policy read(Path file, List<String> zones) throws InvalidSettingsException {
    try {
      return parse(Files.readString(file), zones);
    } catch (IOException e) {
      throw InvalidSettingsException.unreadable(file, e.getMessage(), e);
    } catch (InvalidSettingsException e) {
      throw e.inFile(file);
    }
  }

  /**
   * Reads a file's text.
   *
   * @param zones the names of the zones that the deployment has
   */
  static Policy parse(String text, List<String> zones) throws InvalidSettingsException {
    IniFile ini = new IniFile(text);
    if (ini.hasSection(FORMER_SHARD)) {
      throw InvalidSettingsException.renamedSection(FORMER_SHARD, SHARD);
    }
    return new Policy(
        ini.milliseconds(PLAN, "period_s", DEFAULTS.cyclePeriodMs(), 0.5, SECONDS_PER_DAY),
        ini.flag(PLAN, "rounds_on_events", DEFAULTS.eventDrivenCycles()),
        ini.milliseconds(PLAN, "block_s", DEFAULTS.billingBlockMs(), 1, SECONDS_PER_DAY),
        ini.number(PLAN, "implied_due", DEFAULTS.impliedDeadlineFactor(), 1, SECONDS_PER_DAY),
        ini.milliseconds(SHARD, "hold_s", DEFAULTS.leaseTermMs(), 1, SECONDS_PER_DAY),
        ini.flag(PLAN, "due_from_aims", DEFAULTS.deadlinesFromObjectives()),
        ini.number(WORKER, "idle_hold", DEFAULTS.idleHoldFraction(), 0, SECONDS_PER_DAY),
        ZoneSettings.read(ini, zones));
  }
}
