package dev.windbend.runtime;

import java.util.function.Consumer;

/** Sends HTTP requests. Responses are delivered on the event loop. */
public interface HttpClient {
  /**
   * Sends a request.
   *
   * @param address host and port, as {@code host:port}
   * @param body the JSON body; null for none
   * @param timeoutMs time after which {@code done} receives {@link ClientResponse#NO_RESPONSE}
   * @param done receives the response exactly once
   */
  void call(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<ClientResponse> done);
}
