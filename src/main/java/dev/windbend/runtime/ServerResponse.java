package dev.windbend.runtime;

import java.nio.charset.StandardCharsets;

/**
 * The response to a request that this process received.
 *
 * @param status the HTTP status
 * @param body the JSON body
 * @param retryAfterS value of the {@code Retry-After} header in seconds; 0 to omit the header
 */
public record ServerResponse(int status, byte[] body, int retryAfterS) {
  private static final byte[] EMPTY_OBJECT = "{}".getBytes(StandardCharsets.US_ASCII);

  /** Returns a response with this status and the message as JSON body. */
  public static ServerResponse of(int status, Object message) {
    return new ServerResponse(status, Json.write(message), 0);
  }

  /** Returns a response with this status and an empty JSON object as body. */
  public static ServerResponse ofStatus(int status) {
    return new ServerResponse(status, EMPTY_OBJECT, 0);
  }

  /** Returns a response with status 503 that asks the client to retry after the given time. */
  public static ServerResponse retryAfter(int seconds) {
    return new ServerResponse(HttpStatus.SERVICE_UNAVAILABLE, EMPTY_OBJECT, seconds);
  }
}
