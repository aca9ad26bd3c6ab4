package dev.windbend.daemon;

import java.io.IOException;
import java.io.StringReader;
import java.util.Arrays;
import java.util.List;
import org.ini4j.Ini;
import org.ini4j.Profile;

/** A settings file in INI form. Values out of range are refused with section, key and range. */
final class IniFile {
  private static final double MS_PER_SECOND = 1_000;

  private final Ini ini = new Ini();

  IniFile(String text) throws InvalidSettingsException {
    try {
      ini.load(new StringReader(text));
    } catch (IOException e) {
      throw InvalidSettingsException.malformed("INI", e);
    }
  }

  boolean hasSection(String section) {
    return ini.containsKey(section);
  }

  /** A duration, in the file a number of seconds; the default if the key is missing. */
  long durationMs(String section, String key, long defaultMs, double minSeconds, double maxSeconds)
      throws InvalidSettingsException {
    double seconds = doubleValue(section, key, defaultMs / MS_PER_SECOND, minSeconds, maxSeconds);
    return Math.round(MS_PER_SECOND * seconds);
  }

  /** A number from {@code min} to {@code max}; the default if the key is missing. */
  double doubleValue(String section, String key, double defaultValue, double min, double max)
      throws InvalidSettingsException {
    String text = text(section, key);
    if (text == null) {
      return defaultValue;
    }
    double value = parseNumber(text);
    if (value >= min && value <= max) {
      return value;
    }
    throw InvalidSettingsException.invalidValue(
        section, key, "a number from " + min + " to " + max, text);
  }

  /** True or false; the default if the key is missing. */
  boolean booleanValue(String section, String key, boolean defaultValue)
      throws InvalidSettingsException {
    String text = text(section, key);
    if (text == null) {
      return defaultValue;
    }
    return switch (text) {
      case "true" -> true;
      case "false" -> false;
      default -> throw InvalidSettingsException.invalidValue(section, key, "true or false", text);
    };
  }

  /** Names separated by commas; none if the key is missing. */
  List<String> nameList(String section, String key) {
    String text = text(section, key);
    return text == null || text.isEmpty() ? List.of() : Arrays.asList(text.split("\\s*,\\s*"));
  }

  /** NaN, which is in no range, if the text is not a number. */
  private static double parseNumber(String text) {
    try {
      return Double.parseDouble(text);
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  /** Null if the key is missing. */
  private String text(String section, String key) {
    Profile.Section entries = ini.get(section);
    String value = entries == null ? null : entries.get(key);
    return value == null ? null : value.trim();
  }
}
