package dev.windbend.daemon;

import dev.windbend.shard.Policy;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The operators' own settings, an INI file; every one has a default. */
public final class OperatorSettings {
  private OperatorSettings() {}

  private static final String PLAN = "plan";
  private static final String SHARD = "shard";
  private static final String FORMER_SHARD = "part";
  private static final String WORKER = "worker";
  private static final double DAY_S = 86_400;

  /**
   * Known without reading INI: a controller that starts with little processor time needs it not.
   */
  private static final Policy DEFAULTS =
      new Policy(10_000, true, 60_000, 4, 4_000, true, 0.7, ZoneSettings.DEFAULTS);

  public static Policy defaults() {
    return DEFAULTS;
  }

  /**
   * Reads the file.
   *
   * @param zones the names of the zones that the deployment has
   */
  public static Policy read(Path file, List<String> zones) throws Settings.Invalid {
    try {
      return parse(Files.readString(file), zones);
    } catch (IOException e) {
      throw new Settings.Invalid("cannot read " + file + ": " + e.getMessage());
    } catch (Settings.Invalid e) {
      throw new Settings.Invalid(file + ": " + e.getMessage());
    }
  }

  static Policy parse(String text, List<String> zones) throws Settings.Invalid {
    IniFile ini = new IniFile(text);
    if (ini.hasSection(FORMER_SHARD)) {
      throw new Settings.Invalid("[" + FORMER_SHARD + "] is now called [" + SHARD + "]");
    }
    return new Policy(
        ini.millis(PLAN, "period_s", DEFAULTS.cyclePeriodMs(), 0.5, DAY_S),
        ini.flag(PLAN, "rounds_on_events", DEFAULTS.cyclesOnEvents()),
        ini.millis(PLAN, "block_s", DEFAULTS.billingBlockMs(), 1, DAY_S),
        ini.number(PLAN, "implied_due", DEFAULTS.impliedDeadlineFactor(), 1, DAY_S),
        ini.millis(SHARD, "hold_s", DEFAULTS.leaseTermMs(), 1, DAY_S),
        ini.flag(PLAN, "due_from_aims", DEFAULTS.deadlinesFromObjectives()),
        ini.number(WORKER, "idle_hold", DEFAULTS.idleHoldFraction(), 0, DAY_S),
        ZoneSettings.read(ini, zones));
  }
}
