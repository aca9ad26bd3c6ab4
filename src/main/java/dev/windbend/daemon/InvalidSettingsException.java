package dev.windbend.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;

/**
 * A settings file that cannot be used. The message is meant for the operator; file, section, key
 * and accepted values are there as far as they are known.
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

  /** The file cannot be read. */
  static InvalidSettingsException unreadable(Path file, String reason, IOException cause) {
    return new InvalidSettingsException(
        "cannot read " + file + ": " + reason, file.toString(), null, null, null, cause);
  }

  /** The text is not in this format, for instance TOML. */
  static InvalidSettingsException malformed(String format, IOException cause) {
    return new InvalidSettingsException(
        "not " + format + ": " + cause.getMessage(), null, null, null, null, cause);
  }

  /** A TOML key lacks a value, or has one that is not accepted. */
  static InvalidSettingsException missingOrInvalid(String section, String key) {
    return new InvalidSettingsException(
        "missing or invalid: " + qualifiedKey(section, key), null, section, key, null, null);
  }

  /** As {@link #missingOrInvalid(String, String)}, with a remark, for instance on the format. */
  static InvalidSettingsException missingOrInvalid(String section, String key, String expected) {
    return new InvalidSettingsException(
        "missing or invalid: " + qualifiedKey(section, key) + " " + expected,
        null,
        section,
        key,
        expected,
        null);
  }

  /** The value of a TOML key has another type. */
  static InvalidSettingsException wrongType(String section, String key, String expected) {
    return new InvalidSettingsException(
        "wrong type at " + qualifiedKey(section, key) + ": it must be " + expected,
        null,
        section,
        key,
        expected,
        null);
  }

  /** The value of an INI key is not one of those accepted. */
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

  /** An INI section has another name now. */
  static InvalidSettingsException renamedSection(String formerName, String currentName) {
    return new InvalidSettingsException(
        "[" + formerName + "] is now called [" + currentName + "]",
        null,
        formerName,
        null,
        null,
        null);
  }

  /** This exception with the file, which the message then starts with. */
  InvalidSettingsException withFile(Path path) {
    return new InvalidSettingsException(
        path + ": " + getMessage(), path.toString(), section, key, expected, this);
  }

  /** The file, as it was named on the command line. */
  Optional<String> file() {
    return Optional.ofNullable(file);
  }

  /** The section or table; empty for the top level of a TOML file. */
  Optional<String> section() {
    return Optional.ofNullable(section);
  }

  /** The key within the section. */
  Optional<String> key() {
    return Optional.ofNullable(key);
  }

  /** What the key accepts: a type, a range with its bounds, or a format. */
  Optional<String> expected() {
    return Optional.ofNullable(expected);
  }

  private static String qualifiedKey(String section, String key) {
    return section.isEmpty() ? key : section + "." + key;
  }
}
