package dev.windbend.runtime;

import java.util.function.Consumer;

/** Sends HTTP requests; responses are handed over on the event loop. */
public interface HttpClient {
  /**
   * Sends a request.
   *
   * @param address host and port, as {@code host:port}
   * @param body the JSON body; null: none
   * @param timeoutMs after so many milliseconds {@code done} gets {@link
   *     ClientResponse#NO_RESPONSE}
   * @param done takes the response, exactly once
   */
  void call(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<ClientResponse> done);
}
