package dev.windbend.store;

/** Outcome of a lease renewal. */
public enum LeaseRenewal {
  /** The lease is valid for its full term, counted from no earlier than the request was sent. */
  RENEWED,

  /** The lease has expired, and the store has deleted the keys attached to it. */
  EXPIRED,

  /** No valid response: the lease may or may not have been renewed. Retry soon. */
  UNKNOWN
}
