package dev.windbend.store;

import java.util.List;

/**
 * What a watch gave.
 *
 * @param changes in the order of their revisions; empty unless OK
 * @param revision all changes up to this revision have been handed over
 */
record WatchResult(Status status, List<KeyValue> changes, long revision) {
  /** Whether the changes are complete. */
  enum Status {
    /** All changes of the prefix between both revisions are in the result. */
    OK,

    /** The store no longer keeps the changes since that revision: list the prefix again. */
    COMPACTED,

    /** No usable answer: watch again from the same revision. */
    UNAVAILABLE
  }
}
