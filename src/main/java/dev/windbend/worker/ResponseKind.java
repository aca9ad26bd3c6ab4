package dev.windbend.worker;

/** What the response to a heartbeat does for the worker. */
enum ResponseKind {
  /** An error: it renews nothing, and the worker tries another controller. */
  RENEW_NOTHING,
  /** Renews the lease, and stops tasks of cancelled jobs only. */
  STOP_CANCELLED,
  /** Renews the lease, stops what is not wanted and acknowledges exits; starts nothing. */
  STOP_UNWANTED,
  /** Renews the lease, stops what is not wanted, acknowledges exits, and starts tasks. */
  STOP_AND_START
}
