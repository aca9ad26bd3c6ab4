package dev.windbend.daemon;

import dev.windbend.runtime.HttpStatus;
import dev.windbend.runtime.RequestHandler;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Routes requests to handlers by path and method. The response to an unknown path is 404, and to a
 * method that a path does not support 405.
 */
final class RequestRouter implements RequestHandler {
  private static final RequestHandler NOT_FOUND =
      (request, done) -> done.accept(ServerResponse.ofStatus(HttpStatus.NOT_FOUND));

  private final Map<String, Route> routes = new HashMap<>();
  private Predicate<String> subtreePaths = path -> false;
  private RequestHandler subtreeHandler = NOT_FOUND;

  private record Route(String method, RequestHandler handler) {}

  /** Adds a handler for GET requests with exactly this path. */
  RequestRouter get(String path, RequestHandler handler) {
    routes.put(path, new Route("GET", handler));
    return this;
  }

  /** Adds a handler for POST requests with exactly this path. */
  RequestRouter post(String path, RequestHandler handler) {
    routes.put(path, new Route("POST", handler));
    return this;
  }

  /**
   * Sets the handler for paths that the predicate accepts and that have no handler of their own.
   */
  RequestRouter subtree(Predicate<String> paths, RequestHandler handler) {
    subtreePaths = paths;
    subtreeHandler = handler;
    return this;
  }

  @Override
  public void handle(ServerRequest request, Consumer<ServerResponse> done) {
    Route route = routes.get(request.path());
    if (route == null) {
      RequestHandler handler = subtreePaths.test(request.path()) ? subtreeHandler : NOT_FOUND;
      handler.handle(request, done);
    } else if (route.method().equals(request.method())) {
      route.handler().handle(request, done);
    } else {
      done.accept(ServerResponse.ofStatus(HttpStatus.METHOD_NOT_ALLOWED));
    }
  }
}
