package dev.windbend.store;

/** What goes first of a shard's writes that are due, and what goes along with others. */
public enum CommitPriority {
  /** Tasks wait to start until it is applied: before all others. */
  HIGH,

  /** Goes along with others before it is due. */
  NORMAL,

  /**
   * Nobody waits for it. It is not written before it is due, as each key that goes along delays the
   * next transaction.
   */
  LOW
}
