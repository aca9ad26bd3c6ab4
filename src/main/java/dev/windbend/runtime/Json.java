package dev.windbend.runtime;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/** The one JSON mapper: unknown fields are ignored, nulls are left out. */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .defaultPropertyInclusion(
              JsonInclude.Value.construct(
                  JsonInclude.Include.NON_NULL, JsonInclude.Include.NON_NULL))
          .build();

  private Json() {}

  /**
   * The message as JSON.
   *
   * @throws IllegalStateException if its type can't be written, which is a fault of the program
   */
  public static byte[] write(Object message) {
    try {
      return MAPPER.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot write " + message.getClass(), e);
    }
  }

  /** Null if the bytes do not hold such a message. */
  public static <T> T read(byte[] bytes, Class<T> type) {
    try {
      return MAPPER.readValue(bytes, type);
    } catch (IOException e) {
      return null;
    }
  }

  /** Null if the tree does not hold such a message. */
  public static <T> T read(JsonNode tree, Class<T> type) {
    try {
      return MAPPER.treeToValue(tree, type);
    } catch (JsonProcessingException e) {
      return null;
    }
  }

  /** The tree of any format that Jackson has a parser for. */
  public static JsonNode tree(JsonParser parser) throws IOException {
    return MAPPER.readTree(parser);
  }

  /** The message as a tree. */
  public static JsonNode tree(Object message) {
    return MAPPER.valueToTree(message);
  }
}
