package dev.windbend.store;

import java.util.List;

/**
 * One page of a list of keys.
 *
 * @param answered false: no usable answer, so nothing is known; list again later
 * @param items the keys in their order, with their values
 * @param hasMore whether there are further keys: list from the last one on
 * @param revision the store's revision at which the page was read; 0 unless answered
 */
public record ListResult(boolean answered, List<KeyValue> items, boolean hasMore, long revision) {
  static final ListResult UNAVAILABLE = new ListResult(false, List.of(), false, 0);

  /** The key that the next page starts after; null: this page was the last one. */
  public String nextStartAfter() {
    return hasMore && !items.isEmpty() ? items.get(items.size() - 1).key() : null;
  }
}
