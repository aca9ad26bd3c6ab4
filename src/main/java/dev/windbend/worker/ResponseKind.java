package dev.windbend.worker;

/** What the response to a heartbeat does for the worker. */
enum ResponseKind {
  /** An error: it renews nothing, and the worker tries another controller. */
  REJECT,
  /** Renews the lease, and stops tasks of cancelled jobs only. */
  RENEW_AND_STOP_CANCELLED,
  /** Renews the lease, stops what is not wanted and acknowledges exits; starts nothing. */
  RENEW_AND_STOP,
  /** Renews the lease, stops what is not wanted, acknowledges exits, and starts tasks. */
  RENEW_STOP_AND_START
}
