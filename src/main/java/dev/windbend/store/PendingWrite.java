package dev.windbend.store;

/** Something an owner keeps in the state service and writes when it has changed. */
public interface PendingWrite {
  /** Has changes that are not being written right now. */
  boolean dirty();

  /** Something waits for this write. */
  boolean urgent(long nowMs);

  /** How many keys the next write changes. */
  int cost();

  /** Adds conditions and changes, and remembers what is under way. */
  void fill(TransactionBuilder draft);

  /** The write was applied as this revision. */
  void written(long revision);

  /** The write was not applied, or nobody knows. */
  void unwritten();

  /** A key of this unit had another version than expected; this is what it holds (null: gone). */
  void reread(String key, VersionedValue now);

  boolean owns(String key);
}
