package dev.windbend.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Thrown if a settings file is unreadable or invalid. The message is written for operators. File,
 * section, key and expected values are available as far as they are known.
 */
final class InvalidSettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String file;
  private final String section;
  private final String key;
  private final String expected;

  private InvalidSettingsException(
      String message, String file, String section, String key, String expected, Throwable cause) {
    super(message, cause);
    this.file = file;
    this.section = section;
    this.key = key;
    this.expected = expected;
  }

  /** Creates an exception for a file that cannot be read. */
  static InvalidSettingsException unreadable(Path file, String reason, IOException cause) {
    return new InvalidSettingsException(
        "cannot read " + file + ": " + reason, file.toString(), null, null, null, cause);
  }

  /** Creates an exception for a text that is not in the given format, for instance TOML. */
  static InvalidSettingsException malformed(String format, IOException cause) {
    return new InvalidSettingsException(
        "not " + format + ": " + cause.getMessage(), null, null, null, null, cause);
  }

  /** Creates an exception for a TOML key that is missing or has an invalid value. */
  static InvalidSettingsException missingOrInvalid(String section, String key) {
    return new InvalidSettingsException(
        "missing or invalid: " + qualifiedKey(section, key), null, section, key, null, null);
  }

  /**
   * Creates an exception for a TOML key that is missing or has an invalid value.
   *
   * @param detail follows the key in the message, for instance the required format
   */
  static InvalidSettingsException missingOrInvalid(String section, String key, String detail) {
    return new InvalidSettingsException(
        "missing or invalid: " + qualifiedKey(section, key) + " " + detail,
        null,
        section,
        key,
        detail,
        null);
  }

  /** Creates an exception for a TOML key whose value has the wrong type. */
  static InvalidSettingsException wrongType(String section, String key, String expected) {
    return new InvalidSettingsException(
        "wrong type at " + qualifiedKey(section, key) + ": it must be " + expected,
        null,
        section,
        key,
        expected,
        null);
  }

  /** Creates an exception for an INI key whose value is malformed or out of range. */
  static InvalidSettingsException invalidValue(
      String section, String key, String expected, String value) {
    return new InvalidSettingsException(
        "[" + section + "] " + key + " must be " + expected + ": " + value,
        null,
        section,
        key,
        expected,
        null);
  }

  /** Creates an exception for an INI section that is given under its former name. */
  static InvalidSettingsException renamedSection(String formerName, String currentName) {
    return new InvalidSettingsException(
        "[" + formerName + "] is now called [" + currentName + "]",
        null,
        formerName,
        null,
        null,
        null);
  }

  /** Returns a copy of this exception with the file, whose name also starts the message. */
  InvalidSettingsException withFile(Path path) {
    return new InvalidSettingsException(
        path + ": " + getMessage(), path.toString(), section, key, expected, this);
  }

  /** Returns the file as named on the command line; empty if unknown. */
  Optional<String> file() {
    return Optional.ofNullable(file);
  }

  /** Returns the section or table; an empty string for the top level of a TOML file. */
  Optional<String> section() {
    return Optional.ofNullable(section);
  }

  /** Returns the key within the section; empty if the whole section or file is invalid. */
  Optional<String> key() {
    return Optional.ofNullable(key);
  }

  /** Returns what the key accepts, for instance a type, a range with its bounds, or a format. */
  Optional<String> expected() {
    return Optional.ofNullable(expected);
  }

  private static String qualifiedKey(String section, String key) {
    return section.isEmpty() ? key : section + "." + key;
  }
}
