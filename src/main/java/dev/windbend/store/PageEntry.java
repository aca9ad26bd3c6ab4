package dev.windbend.store;

/** Something small that an owner keeps in the state service; many of them share a page. */
public interface PageEntry {
  /** Unique within the shard. */
  String id();

  /** Has changes that are not being written right now. */
  boolean dirty();

  /** Something waits for this write. */
  boolean urgent(long nowMs);

  /** Nothing depends on what is stored any more. */
  boolean over();

  /** What is to be stored now, whole. */
  Object snapshot();

  /** Adds what must still hold, and remembers what is under way. */
  void begin(TransactionBuilder draft);

  /** The write was applied. */
  void written();

  /** The write was not applied, or nobody knows. */
  void unwritten();

  /** The condition that this entry depends on has this key. */
  boolean dependsOn(String key);

  /** A condition failed; this is what the key holds (null: gone). */
  void reread(VersionedValue now);
}
