package dev.windbend;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.runtime.Json;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;

/**
 * Asserts the exact JSON form of messages and stored records. Line breaks and indentation in the
 * expected JSON are ignored; every other character is compared.
 */
public final class JsonAssertions {
  private JsonAssertions() {}

  /** Asserts that the object serializes to the JSON, both directly and through a tree. */
  public static void assertSerializesTo(Object object, String json) {
    assertThat(utf8Text(Json.write(object))).isEqualTo(toSingleLine(json));
    assertThat(utf8Text(Json.write(Json.tree(object))))
        .as("JSON serialized through a tree")
        .isEqualTo(toSingleLine(json));
  }

  /**
   * Asserts that the JSON deserializes to the expected object, also with an unknown field added.
   */
  public static <T> void assertDeserializesTo(String json, Class<T> type, T expected) {
    assertThat(Json.read(utf8Bytes(toSingleLine(json)), type)).isEqualTo(expected);
    assertThat(Json.read(parseTree(json), type)).as("deserialized from a tree").isEqualTo(expected);
    assertThat(Json.read(utf8Bytes(withUnknownField(json)), type))
        .as("deserialized with an unknown field added")
        .isEqualTo(expected);
  }

  /**
   * Asserts that the object serializes to the JSON and that the JSON deserializes to the object.
   */
  public static <T> void assertRoundTrip(T object, String json) {
    assertSerializesTo(object, json);
    @SuppressWarnings("unchecked")
    Class<T> type = (Class<T>) object.getClass();
    assertDeserializesTo(json, type, object);
  }

  /**
   * Does the same as {@link #assertRoundTrip} for records with arrays. Arrays are equal only if
   * identical, so the deserialized object is serialized again and the bytes are compared.
   */
  public static void assertRoundTripOfBytes(Object object, String json) {
    assertSerializesTo(object, json);
    assertThat(utf8Text(Json.write(Json.read(utf8Bytes(toSingleLine(json)), object.getClass()))))
        .isEqualTo(toSingleLine(json));
    assertThat(utf8Text(Json.write(Json.read(parseTree(json), object.getClass()))))
        .as("deserialized from a tree")
        .isEqualTo(toSingleLine(json));
    assertThat(
            utf8Text(Json.write(Json.read(utf8Bytes(withUnknownField(json)), object.getClass()))))
        .as("deserialized with an unknown field added")
        .isEqualTo(toSingleLine(json));
  }

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
