package dev.windbend.store;

/**
 * A small record that a shard's leader stores in the state service. Many entries share one key, a
 * page of a {@link PagedStore}. An entry is in flight from {@link #beginWrite} until {@link
 * #onApplied} or {@link #onNotApplied}.
 */
public interface PageEntry {
  /** Returns an id that is unique within the shard and stays the same for the next leader. */
  String id();

  /** Returns whether the entry has changes that are neither stored nor in flight. */
  boolean dirty();

  /** Returns whether the entry must be written now: it blocks other work or its delay is over. */
  boolean urgent(long nowMs);

  /** Returns whether the stored copy is no longer needed, so that its space may be reused. */
  boolean obsolete();

  /** Returns the complete value to store; the caller serializes it to JSON immediately. */
  Object snapshot();

  /** Adds the entry's conditions to the transaction and records its current state as in flight. */
  void beginWrite(TransactionBuilder transaction);

  /** Called when the write was applied. */
  void onApplied();

  /** Called when the write was not applied, or when its outcome is unknown. */
  void onNotApplied();

  /** Returns whether {@link #beginWrite} adds a condition on this key. */
  boolean dependsOn(String key);

  /**
   * Called when the condition on the key that this entry depends on did not hold.
   *
   * @param stored the key's current value and version; null if the key does not exist
   */
  void onConflict(VersionedValue stored);
}
