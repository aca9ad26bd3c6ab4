package dev.windbend.worker;

/** Effect of the response to a heartbeat. */
enum ResponseKind {
  /** An error status; the lease is not renewed, and the worker tries another controller. */
  REJECT,
  /** Renews the lease and stops only tasks of cancelled jobs. */
  RENEW_AND_STOP_CANCELLED,
  /** Renews the lease, stops tasks that should not run and acknowledges exits; starts no tasks. */
  RENEW_AND_STOP,
  /** Renews the lease, stops tasks that should not run, acknowledges exits and starts tasks. */
  RENEW_STOP_AND_START
}
