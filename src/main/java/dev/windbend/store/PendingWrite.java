package dev.windbend.store;

/**
 * One or a few keys that a shard's leader keeps in the state service and writes when they change.
 * {@link GroupCommitter} puts several into one transaction. Between {@link #addTo} and {@link
 * #onApplied} or {@link #onNotApplied} the write is in flight.
 */
public interface PendingWrite {
  /** Whether there are changes that are not in flight. */
  boolean dirty();

  /** Whether something waits for this write, or it has been put off for long enough. */
  boolean urgent(long nowMs);

  /** How many keys the next write changes. */
  int writeCount();

  /**
   * How many keys the next write compares at most, but for those that it adds only as far as the
   * transaction has room for them.
   */
  default int conditionCount() {
    return 1;
  }

  /** Adds conditions and writes to the transaction, and remembers what is in flight. */
  void addTo(TransactionBuilder transaction);

  /** The write was applied; its keys have this revision as their version. */
  void onApplied(long revision);

  /** The write was not applied, or it is unknown whether it was. */
  void onNotApplied();

  /** Whether this write depends on the key's version. */
  boolean dependsOn(String key);

  /**
   * A key that this write owns had another version than expected.
   *
   * @param stored what the key holds now; null: it does not exist
   */
  void onConflict(String key, VersionedValue stored);
}
