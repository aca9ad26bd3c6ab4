package dev.windbend.runtime;

import java.util.function.Consumer;

/** Handles the requests that this process receives. */
public interface RequestHandler {
  /**
   * Handles one request.
   *
   * @param done takes the response; must be called exactly once, now or later
   */
  void handle(ServerRequest request, Consumer<ServerResponse> done);
}
