package dev.windbend;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.runtime.Json;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;

/**
 * Compares messages and records with the exact JSON that stands for them. In the JSON line ends and
 * the indentation of lines do not count; everything else does.
 */
public final class JsonPins {
  private JsonPins() {}

  /** The object is written as these bytes, directly as well as by way of a tree. */
  public static void assertWritten(Object object, String json) {
    assertThat(text(Json.write(object))).isEqualTo(oneLine(json));
    assertThat(text(Json.write(Json.tree(object)))).as("by way of a tree").isEqualTo(oneLine(json));
  }

  /** These bytes are read as the object, also with a field beside them that nobody knows. */
  public static <T> void assertRead(String json, Class<T> type, T object) {
    assertThat(Json.read(bytes(oneLine(json)), type)).isEqualTo(object);
    assertThat(Json.read(tree(json), type)).as("from a tree").isEqualTo(object);
    assertThat(Json.read(bytes(withUnknownField(json)), type))
        .as("with an unknown field")
        .isEqualTo(object);
  }

  /** The object is written as these bytes, and they are read as the object. */
  public static <T> void assertPinned(T object, String json) {
    assertWritten(object, json);
    @SuppressWarnings("unchecked")
    Class<T> type = (Class<T>) object.getClass();
    assertRead(json, type, object);
  }

  /**
   * As {@link #assertPinned}, for records with arrays, which equal only themselves: what is read is
   * written as the same bytes.
   */
  public static void assertPinnedWithArrays(Object object, String json) {
    assertWritten(object, json);
    assertThat(text(Json.write(Json.read(bytes(oneLine(json)), object.getClass()))))
        .isEqualTo(oneLine(json));
    assertThat(text(Json.write(Json.read(tree(json), object.getClass()))))
        .as("from a tree")
        .isEqualTo(oneLine(json));
    assertThat(text(Json.write(Json.read(bytes(withUnknownField(json)), object.getClass()))))
        .as("with an unknown field")
        .isEqualTo(oneLine(json));
  }

  /** The tree of the JSON. */
  public static JsonNode tree(String json) {
    return Json.read(bytes(oneLine(json)), JsonNode.class);
  }

  private static String withUnknownField(String json) {
    String line = oneLine(json);
    String separator = line.equals("{}") ? "" : ",";
    assertThat(line).startsWith("{");
    return "{\"field_of_a_later_version\":{\"a\":[1,null]}" + separator + line.substring(1);
  }

  private static String oneLine(String json) {
    return json.lines().map(String::strip).collect(Collectors.joining());
  }

  private static byte[] bytes(String json) {
    return json.getBytes(StandardCharsets.UTF_8);
  }

  private static String text(byte[] json) {
    return new String(json, StandardCharsets.UTF_8);
  }
}
