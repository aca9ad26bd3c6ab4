package dev.windbend.daemon;

import java.io.IOException;
import java.io.StringReader;
import java.util.Arrays;
import java.util.List;
import org.ini4j.Ini;
import org.ini4j.Profile;

/** A settings file in INI form. Wrong values are refused with section, key and range. */
final class IniFile {
  private static final double MS = 1_000;

  private final Ini ini = new Ini();

  IniFile(String text) throws Settings.Invalid {
    try {
      ini.load(new StringReader(text));
    } catch (IOException e) {
      throw new Settings.Invalid("not INI: " + e.getMessage());
    }
  }

  boolean hasSection(String section) {
    return ini.containsKey(section);
  }

  private String text(String section, String key) {
    Profile.Section s = ini.get(section);
    String value = s == null ? null : s.get(key);
    return value == null ? null : value.trim();
  }

  /** A number of seconds, as milliseconds. */
  long millis(String section, String key, long defaultMs, double leastS, double mostS)
      throws Settings.Invalid {
    return Math.round(MS * number(section, key, defaultMs / MS, leastS, mostS));
  }

  double number(String section, String key, double defaultValue, double least, double most)
      throws Settings.Invalid {
    String text = text(section, key);
    if (text == null) {
      return defaultValue;
    }
    try {
      double value = Double.parseDouble(text);
      if (value >= least && value <= most) {
        return value;
      }
    } catch (NumberFormatException e) {
      // said below
    }
    throw new Settings.Invalid(
        "[%s] %s must be a number from %s to %s: %s".formatted(section, key, least, most, text));
  }

  boolean flag(String section, String key, boolean defaultValue) throws Settings.Invalid {
    String text = text(section, key);
    if (text == null) {
      return defaultValue;
    }
    return switch (text) {
      case "true" -> true;
      case "false" -> false;
      default ->
          throw new Settings.Invalid(
              "[%s] %s must be true or false: %s".formatted(section, key, text));
    };
  }

  /** NameIndex parted by commas; none if the key is not there. */
  List<String> names(String section, String key) {
    String text = text(section, key);
    return text == null || text.isEmpty() ? List.of() : Arrays.asList(text.split("\\s*,\\s*"));
  }
}
