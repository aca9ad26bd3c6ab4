package dev.windbend.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import dev.windbend.runtime.Json;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

/**
 * A table of a TOML file, whose values are read by key. Binding the file to records by reflection
 * would use more CPU time at each start of a controller.
 */
final class TomlTable {
  private final JsonNode node;

  /** Names of the table and its parents, separated by dots; empty for the top level. */
  private final String path;

  private TomlTable(JsonNode node, String path) {
    this.node = node;
    this.path = path;
  }

  /**
   * Parses the text of a file and returns the table of its top level.
   *
   * @throws InvalidSettingsException if the text is not in TOML format
   */
  static TomlTable parse(String toml) throws InvalidSettingsException {
    try {
      return new TomlTable(Json.tree(new TomlFactory().createParser(toml)), "");
    } catch (IOException e) {
      throw InvalidSettingsException.malformed("TOML", e);
    }
  }

  /** Returns a table; null if the key is missing. */
  TomlTable table(String key) throws InvalidSettingsException {
    JsonNode value = node.get(key);
    if (value == null) {
      return null;
    }
    requireType(value.isObject(), key, "a table");
    return new TomlTable(value, qualifiedKey(key));
  }

  /** Returns the tables of an array; an empty list if the key is missing. */
  List<TomlTable> tables(String key) throws InvalidSettingsException {
    List<TomlTable> values = new ArrayList<>();
    for (JsonNode value : array(key)) {
      requireType(value.isObject(), key, "an array of tables");
      values.add(new TomlTable(value, qualifiedKey(key)));
    }
    return values;
  }

  /** Returns the strings of an array; an empty list if the key is missing. */
  List<String> strings(String key) throws InvalidSettingsException {
    List<String> values = new ArrayList<>();
    for (JsonNode value : array(key)) {
      requireType(value.isTextual(), key, "an array of strings");
      values.add(value.textValue());
    }
    return values;
  }

  private Iterable<JsonNode> array(String key) throws InvalidSettingsException {
    JsonNode value = node.get(key);
    if (value == null) {
      return List.of();
    }
    requireType(value.isArray(), key, "an array");
    return value;
  }

  /** Returns a string; null if the key is missing. */
  String string(String key) throws InvalidSettingsException {
    JsonNode value = node.get(key);
    if (value == null) {
      return null;
    }
    requireType(value.isTextual(), key, "a string");
    return value.textValue();
  }

  /** Returns a number; 0 if the key is missing. */
  double number(String key) throws InvalidSettingsException {
    return optionalNumber(key).orElse(0);
  }

  /** Returns a number; empty if the key is missing. */
  OptionalDouble optionalNumber(String key) throws InvalidSettingsException {
    JsonNode value = node.get(key);
    if (value == null) {
      return OptionalDouble.empty();
    }
    requireType(value.isNumber(), key, "a number");
    return OptionalDouble.of(value.doubleValue());
  }

  /** Returns an integer; 0 if the key is missing. */
  int integer(String key) throws InvalidSettingsException {
    JsonNode value = node.get(key);
    if (value == null) {
      return 0;
    }
    requireType(value.isNumber() && value.canConvertToInt(), key, "an integer");
    return value.intValue();
  }

  private String qualifiedKey(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  private void requireType(boolean hasType, String key, String expected)
      throws InvalidSettingsException {
    if (!hasType) {
      throw InvalidSettingsException.wrongType(path, key, expected);
    }
  }
}
