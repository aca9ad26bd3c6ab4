package dev.windbend.runtime;

import java.util.function.Consumer;

/** Handles requests that this process receives. */
public interface RequestHandler {
  /**
   * Handles one request.
   *
   * @param done receives the response; must be called exactly once, during this call or later
   */
  void handle(ServerRequest request, Consumer<ServerResponse> done);
}
