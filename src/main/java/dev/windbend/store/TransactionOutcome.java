package dev.windbend.store;

import java.util.List;

/**
 * How a transaction ended.
 *
 * @param revision the revision of the store: if applied, the version that all written keys now
 *     have; 0 if refused or unknown
 * @param failedKeys the keys whose condition did not hold; empty unless a condition failed
 */
public record TransactionOutcome(Kind kind, long revision, List<String> failedKeys) {
  /** What is known of the transaction. */
  public enum Kind {
    /** All conditions held, and all writes are stored. */
    APPLIED,

    /**
     * Nothing is stored: another writer was first. Read the failed keys before trying again. After
     * an earlier attempt of unknown outcome, that attempt may be the other writer.
     */
    CONDITION_FAILED,

    /** Surely not applied, as it was turned away or never sent. It may be sent again at once. */
    REFUSED,

    /**
     * No answer: it may have been applied, or may yet be. Send it again with the same conditions,
     * of which at most one of both attempts can meet, or read the keys.
     */
    UNKNOWN
  }

  /** Whether all writes are stored. */
  public boolean applied() {
    return kind == Kind.APPLIED;
  }

  /** Whether another writer was first. */
  public boolean conditionFailed() {
    return kind == Kind.CONDITION_FAILED;
  }
}
