package dev.windbend.runtime;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/**
 * Converts between JSON and Java objects. Unknown fields are ignored and null fields are omitted.
 */
public final class Json {
  /**
   * Jackson's own limits on names, numbers and nesting would reject messages for the content of
   * unknown fields. The size limit of a request bounds all three.
   */
  private static final StreamReadConstraints CONSTRAINTS =
      StreamReadConstraints.builder()
          .maxNameLength(MessageLimits.MAX_REQUEST_BYTES)
          .maxNumberLength(MessageLimits.MAX_REQUEST_BYTES)
          .maxNestingDepth(MessageLimits.MAX_REQUEST_BYTES)
          .build();

  private static final JsonFactory FACTORY =
      JsonFactory.builder().streamReadConstraints(CONSTRAINTS).build();

  private static final ObjectMapper MAPPER =
      JsonMapper.builder(FACTORY)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .defaultPropertyInclusion(
              JsonInclude.Value.construct(
                  JsonInclude.Include.NON_NULL, JsonInclude.Include.NON_NULL))
          .build();

  private Json() {}

  /**
   * Serializes the message.
   *
   * @throws IllegalStateException if the type of the message cannot be serialized, which is a
   *     programming error
   */
  public static byte[] write(Object message) {
    try {
      return MAPPER.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize to JSON: " + message.getClass(), e);
    }
  }

  /**
   * Returns a parser of the tokens of a message.
   *
   * @throws IOException if the encoding of the message cannot be determined
   */
  public static JsonParser parser(byte[] bytes) throws IOException {
    return FACTORY.createParser(bytes);
  }

  /** Deserializes a message; returns null if the bytes are not valid JSON for the type. */
  public static <T> T read(byte[] bytes, Class<T> type) {
    try {
      return MAPPER.readValue(bytes, type);
    } catch (IOException e) {
      return null;
    }
  }

  /** Converts a tree to a message; returns null if the tree does not match the type. */
  public static <T> T read(JsonNode tree, Class<T> type) {
    try {
      return MAPPER.treeToValue(tree, type);
    } catch (JsonProcessingException e) {
      return null;
    }
  }

  /**
   * Reads a tree from a parser of any format that Jackson supports.
   *
   * @throws IOException if the input is malformed or cannot be read
   */
  public static JsonNode tree(JsonParser parser) throws IOException {
    return MAPPER.readTree(parser);
  }

  /** Converts the message to a tree. */
  public static JsonNode tree(Object message) {
    return MAPPER.valueToTree(message);
  }
}
