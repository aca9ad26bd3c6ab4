package dev.windbend.store;

import java.util.List;

/**
 * Result of a watch.
 *
 * @param status whether the changes are complete
 * @param changes the changes in order of their revisions; empty unless the status is OK
 * @param revision the revision up to which all changes have been delivered
 */
record WatchResult(Status status, List<KeyValue> changes, long revision) {
  /** Whether the changes are complete. */
  enum Status {
    /** The result contains all changes between the requested revision and its own revision. */
    OK,

    /** The store has discarded the changes since the requested revision. List the prefix again. */
    COMPACTED,

    /** There was no valid response. Retry from the same revision. */
    UNAVAILABLE
  }
}
