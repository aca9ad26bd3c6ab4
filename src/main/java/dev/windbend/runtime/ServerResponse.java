package dev.windbend.runtime;

import java.nio.charset.StandardCharsets;

/**
 * This process's response to a request that it received.
 *
 * @param body the JSON body
 * @param retryAfterS seconds for the header {@code Retry-After}; 0: no such header
 */
public record ServerResponse(int status, byte[] body, int retryAfterS) {
  private static final byte[] EMPTY_OBJECT = "{}".getBytes(StandardCharsets.US_ASCII);

  /** A response with this status that carries the message as JSON. */
  public static ServerResponse of(int status, Object message) {
    return new ServerResponse(status, Json.write(message), 0);
  }

  /** A response with this status and an empty JSON object. */
  public static ServerResponse ofStatus(int status) {
    return new ServerResponse(status, EMPTY_OBJECT, 0);
  }

  /** 503, asking the client to try again after so many seconds. */
  public static ServerResponse retryAfter(int seconds) {
    return new ServerResponse(HttpStatus.SERVICE_UNAVAILABLE, EMPTY_OBJECT, seconds);
  }
}
