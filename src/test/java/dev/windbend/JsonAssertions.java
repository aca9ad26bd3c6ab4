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
public final class JsonAssertions {
  private JsonAssertions() {}

  /** The object is written as these bytes, directly as well as by way of a tree. */
  public static void assertSerializesTo(Object object, String json) {
    assertThat(utf8Text(Json.write(object))).isEqualTo(toSingleLine(json));
    assertThat(utf8Text(Json.write(Json.tree(object))))
        .as("by way of a tree")
        .isEqualTo(toSingleLine(json));
  }

  /** These bytes are read as the object, also with a field beside them that nobody knows. */
  public static <T> void assertDeserializesTo(String json, Class<T> type, T expected) {
    assertThat(Json.read(utf8Bytes(toSingleLine(json)), type)).isEqualTo(expected);
    assertThat(Json.read(parseTree(json), type)).as("from a tree").isEqualTo(expected);
    assertThat(Json.read(utf8Bytes(withUnknownField(json)), type))
        .as("with an unknown field")
        .isEqualTo(expected);
  }

  /** The object is written as these bytes, and they are read as the object. */
  public static <T> void assertRoundTrip(T object, String json) {
    assertSerializesTo(object, json);
    @SuppressWarnings("unchecked")
    Class<T> type = (Class<T>) object.getClass();
    assertDeserializesTo(json, type, object);
  }

  /**
   * As {@link #assertRoundTrip}, for records with arrays, which equal only themselves: what is read
   * is written as the same bytes.
   */
  public static void assertRoundTripOfBytes(Object object, String json) {
    assertSerializesTo(object, json);
    assertThat(utf8Text(Json.write(Json.read(utf8Bytes(toSingleLine(json)), object.getClass()))))
        .isEqualTo(toSingleLine(json));
    assertThat(utf8Text(Json.write(Json.read(parseTree(json), object.getClass()))))
        .as("from a tree")
        .isEqualTo(toSingleLine(json));
    assertThat(
            utf8Text(Json.write(Json.read(utf8Bytes(withUnknownField(json)), object.getClass()))))
        .as("with an unknown field")
        .isEqualTo(toSingleLine(json));
  }

  /** The tree of the JSON. */
  public static JsonNode parseTree(String json) {
    return Json.read(utf8Bytes(toSingleLine(json)), JsonNode.class);
  }

  private static String withUnknownField(String json) {
    String line = toSingleLine(json);
    String separator = line.equals("{}") ? "" : ",";
    assertThat(line).startsWith("{");
    return "{\"field_of_a_later_version\":{\"a\":[1,null]}" + separator + line.substring(1);
  }

  private static String toSingleLine(String json) {
    return json.lines().map(String::strip).collect(Collectors.joining());
  }

  private static byte[] utf8Bytes(String json) {
    return json.getBytes(StandardCharsets.UTF_8);
  }

  private static String utf8Text(byte[] json) {
    return new String(json, StandardCharsets.UTF_8);
  }
}
