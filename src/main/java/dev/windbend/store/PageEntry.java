package dev.windbend.store;

/**
 * A small record of a shard's leader in the state service; many share one key, in pages ({@link
 * PagedStore}). Between {@link #beginWrite} and {@link #onApplied} or {@link #onNotApplied} it is
 * in flight.
 */
public interface PageEntry {
  /** Unique within the shard, and the same for its successor. */
  String id();

  /** Whether there are changes that are not in flight. */
  boolean dirty();

  /** Whether something waits for this write, or it has been put off for long enough. */
  boolean urgent(long nowMs);

  /** Whether nothing depends on what is stored any more, so that its place may be reused. */
  boolean obsolete();

  /** What is to be stored now, whole; turned into JSON at once. */
  Object snapshot();

  /** Adds the conditions that must hold, and remembers what is in flight. */
  void beginWrite(TransactionBuilder transaction);

  /** The write was applied. */
  void onApplied();

  /** The write was not applied, or it is unknown whether it was. */
  void onNotApplied();

  /** Whether {@link #beginWrite} adds a condition on this key. */
  boolean dependsOn(String key);

  /**
   * The condition on the key that this entry depends on did not hold.
   *
   * @param stored what the key holds now; null: it does not exist
   */
  void onConflict(VersionedValue stored);
}
