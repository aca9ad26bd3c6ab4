package dev.windbend.store;

import java.util.List;

/**
 * Outcome of a transaction.
 *
 * @param kind whether the transaction was applied
 * @param revision the store's revision; if applied, the new version of all written keys; 0 if the
 *     transaction was refused or its outcome is unknown
 * @param failedKeys the keys whose condition did not hold; empty unless a condition failed
 */
public record TransactionOutcome(Kind kind, long revision, List<String> failedKeys) {
  /** Whether the transaction was applied, as far as known. */
  public enum Kind {
    /** All conditions held, and all writes are stored. */
    APPLIED,

    /**
     * Nothing is stored, because another writer changed a compared key first. Read the failed keys
     * before retrying. After an earlier attempt with unknown outcome, that attempt may be the other
     * writer.
     */
    CONDITION_FAILED,

    /** Not applied, because it was rejected or not sent. It may be retried immediately. */
    REFUSED,

    /**
     * No valid response: the transaction may have been applied or may still be applied. Retry it
     * with the same conditions, so that at most one of the two attempts is applied, or read the
     * keys.
     */
    UNKNOWN
  }

  /** Returns whether all writes are stored. */
  public boolean applied() {
    return kind == Kind.APPLIED;
  }

  /** Returns whether a condition failed because another writer changed a compared key first. */
  public boolean conditionFailed() {
    return kind == Kind.CONDITION_FAILED;
  }
}
