package dev.windbend.runtime;

/**
 * Time limits of the exchanges of an HTTP server, in milliseconds.
 *
 * @param requestMs from the end of a request's head to the end of its body
 * @param responseMs from the end of a request to the handler's response
 * @param writeMs from the response until its client has taken it
 * @param lingerMs how long the rest of a rejected request is discarded before the connection is
 *     closed
 */
record HttpServerLimits(long requestMs, long responseMs, long writeMs, long lingerMs) {
  /** Longer than users (5 s), workers (4 s) and controllers wait for a response. */
  static final HttpServerLimits DEFAULT = new HttpServerLimits(10_000, 10_000, 10_000, 1_000);
}
