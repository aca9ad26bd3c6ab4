package dev.windbend.store;

/** How the renewal of a lease ended. */
public enum LeaseRenewal {
  /** The lease runs for its whole term again, from no earlier than the request was sent. */
  RENEWED,

  /** The lease is over, and the store has deleted the keys put with it. */
  EXPIRED,

  /** No usable answer: the lease may have been renewed, or may expire. Renew it again soon. */
  UNKNOWN
}
