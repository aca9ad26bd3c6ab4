package dev.windbend.store;

/**
 * One or a few keys that a shard's leader stores in the state service and writes when they change.
 * {@link GroupCommitter} combines several pending writes into one transaction. A write is in flight
 * from {@link #addTo} until {@link #onApplied} or {@link #onNotApplied}.
 */
public interface PendingWrite {
  /** Returns whether there are changes that are neither stored nor in flight. */
  boolean dirty();

  /** Returns whether the write must be sent now: it blocks other work or its delay is over. */
  boolean urgent(long nowMs);

  /** Returns how many keys the next write changes. */
  int writeCount();

  /**
   * Returns the maximum number of conditions that the next write adds, except for conditions that
   * it adds only while the transaction is below its limit.
   */
  default int conditionCount() {
    return 1;
  }

  /** Adds conditions and writes to the transaction, and records the current state as in flight. */
  void addTo(TransactionBuilder transaction);

  /** Called when the write was applied; the new version of its keys is {@code revision}. */
  void onApplied(long revision);

  /** Called when the write was not applied, or when its outcome is unknown. */
  void onNotApplied();

  /** Returns whether this write is conditional on the key's version. */
  boolean dependsOn(String key);

  /**
   * Called when a key that this write depends on had another version than expected.
   *
   * @param stored the key's current value and version; null if the key does not exist
   */
  void onConflict(String key, VersionedValue stored);
}
