package dev.windbend.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** One key of a {@link PagedStore}: what counts in it, and what is being written to it. */
final class Page {
  /** The key in the state service. */
  final String key;

  /** Entries whose newest stored copy is in this page. */
  final LinkedHashSet<PageEntry> liveEntries = new LinkedHashSet<>();

  private final Map<String, JsonNode> content = new TreeMap<>();
  private final List<PageEntry> entriesInFlight = new ArrayList<>();
  private long version;
  private int contentBytes;

  /** The version is 0 if the key does not exist. */
  Page(String key, long version) {
    this.key = key;
    this.version = version;
  }

  /** The version that the key is known to have; 0: it does not exist. */
  long version() {
    return version;
  }

  void setVersion(long version) {
    this.version = version;
  }

  /** Adds an entry to the write of this page. */
  void add(PageEntry entry, JsonNode value, int bytes) {
    content.put(entry.id(), value);
    entriesInFlight.add(entry);
    contentBytes += bytes;
  }

  /** How many bytes the entries of the write take. */
  int contentBytes() {
    return contentBytes;
  }

  boolean contains(PageEntry entry) {
    return content.containsKey(entry.id());
  }

  /** The entries of the write. */
  List<PageEntry> entriesInFlight() {
    return entriesInFlight;
  }

  /** What the write stores. */
  PageRecord content() {
    return new PageRecord(content);
  }

  /** The write has ended, whether or not it was applied. */
  void endWrite() {
    content.clear();
    entriesInFlight.clear();
    contentBytes = 0;
  }
}
