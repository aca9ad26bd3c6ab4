package dev.windbend.daemon;

import java.io.IOException;
import java.io.StringReader;
import java.util.Arrays;
import java.util.List;
import org.ini4j.Ini;
import org.ini4j.Profile;

/**
 * A settings file in INI format. A value that is malformed or out of range is rejected with its
 * section, its key and the accepted values.
 */
final class IniFile {
  private static final double MS_PER_SECOND = 1_000;

  private final Ini ini = new Ini();

  /**
   * Parses the text of the file.
   *
   * @throws InvalidSettingsException if the text is not in INI format
   */
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

  /**
   * Returns a duration in milliseconds, which the file states in seconds; the default if the key is
   * missing.
   */
  long durationMs(String section, String key, long defaultMs, double minSeconds, double maxSeconds)
      throws InvalidSettingsException {
    double seconds = doubleValue(section, key, defaultMs / MS_PER_SECOND, minSeconds, maxSeconds);
    return Math.round(MS_PER_SECOND * seconds);
  }

  /** Returns a number from {@code min} to {@code max}; the default if the key is missing. */
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

  /** Returns true or false; the default if the key is missing. */
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

  /** Returns names, which commas separate in the file; an empty list if the key is missing. */
  List<String> nameList(String section, String key) {
    String text = text(section, key);
    return text == null || text.isEmpty() ? List.of() : Arrays.asList(text.split("\\s*,\\s*"));
  }

  /** Returns the number; NaN, which is outside any range, if the text is not a number. */
  private static double parseNumber(String text) {
    try {
      return Double.parseDouble(text);
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  /** Returns the value without surrounding whitespace; null if the key is missing. */
  private String text(String section, String key) {
    Profile.Section entries = ini.get(section);
    String value = entries == null ? null : entries.get(key);
    return value == null ? null : value.trim();
  }
}
