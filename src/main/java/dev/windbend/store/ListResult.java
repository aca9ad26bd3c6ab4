package dev.windbend.store;

import java.util.List;

/**
 * One result page of a list request.
 *
 * @param answered whether there was a valid response; if false, the other components carry no
 *     information and the request must be repeated later
 * @param items the keys with their values, in key order
 * @param hasMore whether further keys follow the last one of this page
 * @param revision the store's revision at which the page was read; 0 if not answered
 */
public record ListResult(boolean answered, List<KeyValue> items, boolean hasMore, long revision) {
  static final ListResult UNAVAILABLE = new ListResult(false, List.of(), false, 0);

  /** Returns the key after which the next page starts, or null if this is the last page. */
  public String nextStartAfter() {
    return hasMore && !items.isEmpty() ? items.get(items.size() - 1).key() : null;
  }
}
