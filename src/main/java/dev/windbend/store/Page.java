package dev.windbend.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** One key of a {@link PagedStore}: its current entries, and the entries being written to it. */
final class Page {
  /** The key in the state service. */
  final String key;

  /** Entries whose latest stored copy is in this page. */
  final LinkedHashSet<PageEntry> liveEntries = new LinkedHashSet<>();

  private final Map<String, JsonNode> content = new TreeMap<>();
  private final List<PageEntry> entriesInFlight = new ArrayList<>();
  private long version;
  private int contentBytes;

  /** Creates a page with the version of its key, 0 if the key does not exist. */
  Page(String key, long version) {
    this.key = key;
    this.version = version;
  }

  /** Returns the last known version of the key; 0 if the key does not exist. */
  long version() {
    return version;
  }

  void setVersion(long version) {
    this.version = version;
  }

  /** Adds an entry of the given JSON size to the write in flight. */
  void add(PageEntry entry, JsonNode value, int bytes) {
    content.put(entry.id(), value);
    entriesInFlight.add(entry);
    contentBytes += bytes;
  }

  /** Returns the total size of the entries in flight, in bytes. */
  int contentBytes() {
    return contentBytes;
  }

  boolean contains(PageEntry entry) {
    return content.containsKey(entry.id());
  }

  /** Returns the entries in flight. */
  List<PageEntry> entriesInFlight() {
    return entriesInFlight;
  }

  /** Returns the value that the write in flight stores. */
  PageRecord content() {
    return new PageRecord(content);
  }

  /** Clears the write in flight after it has completed, whether or not it was applied. */
  void endWrite() {
    content.clear();
    entriesInFlight.clear();
    contentBytes = 0;
  }
}
