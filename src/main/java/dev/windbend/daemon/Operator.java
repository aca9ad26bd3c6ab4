package dev.windbend.daemon;

import dev.windbend.shard.Policy;
import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import org.ini4j.Ini;
import org.ini4j.Profile;

/** The operators' own settings, an INI file; every one has a default. */
public final class Operator {
  private Operator() {}

  private static final String SHARD_SECTION = "shard";
  private static final String FORMER_SHARD_SECTION = "part";

  /**
   * Known without reading INI: a controller that starts with little processor time needs it not.
   */
  private static final Policy DEFAULTS = new Policy(10_000, true, 60_000, 4, 4_000, true, 0.7);

  public static Policy defaults() {
    return DEFAULTS;
  }

  public static Policy read(Path file) throws Settings.Invalid {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      throw new Settings.Invalid("cannot read " + file + ": " + e.getMessage());
    }
  }

  static Policy parse(String text) throws Settings.Invalid {
    Ini ini = new Ini();
    try {
      ini.load(new StringReader(text));
    } catch (IOException e) {
      throw new Settings.Invalid("not INI: " + e.getMessage());
    }
    if (ini.containsKey(FORMER_SHARD_SECTION)) {
      throw new Settings.Invalid(
          "[" + FORMER_SHARD_SECTION + "] is now called [" + SHARD_SECTION + "]");
    }
    return new Policy(
        millis(ini, "plan", "period_s", DEFAULTS.periodMs(), 0.5),
        flag(ini, "plan", "rounds_on_events", DEFAULTS.roundsOnEvents()),
        millis(ini, "plan", "block_s", DEFAULTS.blockMs(), 1),
        number(ini, "plan", "implied_due", DEFAULTS.impliedDue(), 1),
        millis(ini, SHARD_SECTION, "hold_s", DEFAULTS.leaseTermMs(), 1),
        flag(ini, "plan", "due_from_aims", DEFAULTS.dueFromAims()),
        number(ini, "worker", "idle_hold", DEFAULTS.idleHold(), 0));
  }

  private static String get(Ini ini, String section, String key) {
    Profile.Section s = ini.get(section);
    return s == null ? null : s.get(key);
  }

  private static long millis(Ini ini, String section, String key, long orMs, double leastS)
      throws Settings.Invalid {
    return Math.round(1000 * number(ini, section, key, orMs / 1000.0, leastS));
  }

  private static double number(Ini ini, String section, String key, double or, double least)
      throws Settings.Invalid {
    String text = get(ini, section, key);
    if (text == null) {
      return or;
    }
    try {
      double v = Double.parseDouble(text.trim());
      if (v >= least && v <= 86_400) {
        return v;
      }
    } catch (NumberFormatException e) {
      // said below
    }
    throw new Settings.Invalid(
        "[" + section + "] " + key + " must be a number of at least " + least + ": " + text);
  }

  private static boolean flag(Ini ini, String section, String key, boolean or)
      throws Settings.Invalid {
    String text = get(ini, section, key);
    if (text == null) {
      return or;
    }
    return switch (text.trim()) {
      case "true" -> true;
      case "false" -> false;
      default ->
          throw new Settings.Invalid(
              "[" + section + "] " + key + " must be true or false: " + text);
    };
  }
}
