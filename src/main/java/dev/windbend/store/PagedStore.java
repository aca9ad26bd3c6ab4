package dev.windbend.store;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.runtime.Json;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Stores many small entries under few keys (pages), so that a transaction writes few keys even if
 * it contains many entries. A page holds complete entries. If several pages hold a copy of an
 * entry, the copy in the page with the highest version is valid. Changed entries are written
 * together to a free page, which is one without valid copies of needed entries. If the written page
 * has space left, entries of the least filled page are moved to it until that page is free
 * (compaction).
 */
public final class PagedStore implements PendingWrite {
  /** Space reserved in each page for the JSON around the entries. */
  private static final int PAGE_OVERHEAD_BYTES = 256;

  /** JSON size of an entry in addition to its id and value. */
  private static final int ENTRY_OVERHEAD_BYTES = 8;

  private static final int MAX_PAGES_PER_WRITE = 3;

  /** Compaction runs only if more pages than this are in use. */
  private static final int MAX_PAGES_WITHOUT_COMPACTION = 3;

  private final String prefix;
  private final int pageBytes;
  private final int maxWrites;
  private final int maxConditions;
  private final LinkedHashSet<PageEntry> changedEntries = new LinkedHashSet<>();
  private final PageAllocator allocator;
  private final List<Page> pagesInFlight = new ArrayList<>();

  /** During a restore: the page that holds the latest copy of each entry, by entry id. */
  private final Map<String, Page> restoredPageById = new HashMap<>();

  /**
   * First page of the last write if that write was not applied or its outcome is unknown; null if
   * there is none. The next write uses this page again, so that at most one of the two writes is
   * applied. If the next write used another page, the earlier write could still be applied after
   * it, and its older copies would become the valid ones.
   */
  private Page retryPage;

  /**
   * Creates a store without entries.
   *
   * @param prefix the prefix of the pages' keys, which is followed by the page's number
   * @param valueBytes the maximum size of a key's value, in bytes
   * @param maxWrites the maximum number of keys that a transaction may write
   */
  public PagedStore(String prefix, int valueBytes, int maxWrites) {
    this.prefix = prefix;
    this.pageBytes = valueBytes - PAGE_OVERHEAD_BYTES;
    this.maxWrites = maxWrites;
    // Reserves conditions for the pages themselves and for the guard key of the group commit.
    this.maxConditions = StoreClient.CONDITIONS_PER_WRITE * maxWrites - MAX_PAGES_PER_WRITE - 1;
    this.allocator = new PageAllocator(prefix);
  }

  /**
   * Loads the pages stored by a previous leader. The caller then calls {@link #adopt} for each
   * entry that is still needed, and finally {@link #finishRestore}.
   *
   * @param stored the values of all pages by key
   * @return the value of each entry's latest copy, by entry id
   */
  public SortedMap<String, JsonNode> restore(Map<String, VersionedValue> stored) {
    SortedMap<String, JsonNode> newest = new TreeMap<>();
    for (Map.Entry<String, VersionedValue> storedPage : stored.entrySet()) {
      Page page = allocator.addStored(storedPage.getKey(), storedPage.getValue().version());
      PageRecord record = Json.read(storedPage.getValue().value(), PageRecord.class);
      if (record != null && record.entries() != null) {
        record.entries().forEach((id, value) -> restoreCopy(id, value, page, newest));
      }
    }
    return newest;
  }

  private void restoreCopy(
      String id, JsonNode value, Page page, SortedMap<String, JsonNode> newest) {
    Page previous = restoredPageById.get(id);
    if (previous == null || previous.version() < page.version()) {
      restoredPageById.put(id, page);
      newest.put(id, value);
    }
  }

  /** Assigns the entry to the page in which {@link #restore} found its latest copy, if any. */
  public void adopt(PageEntry entry) {
    Page page = restoredPageById.remove(entry.id());
    if (page != null) {
      allocator.place(entry, page);
    }
  }

  /** Ends a restore: copies that were not adopted are obsolete. */
  public void finishRestore() {
    restoredPageById.clear();
  }

  /** Registers a changed entry for the next write. */
  public void markChanged(PageEntry entry) {
    changedEntries.add(entry);
  }

  @Override
  public boolean dirty() {
    if (!pagesInFlight.isEmpty()) {
      return false;
    }
    changedEntries.removeIf(entry -> !entry.dirty());
    return retryPage != null || !changedEntries.isEmpty();
  }

  @Override
  public boolean urgent(long nowMs) {
    for (PageEntry entry : changedEntries) {
      if (entry.dirty() && entry.urgent(nowMs)) {
        return true;
      }
    }
    return retryPage != null;
  }

  @Override
  public int writeCount() {
    return 1;
  }

  @Override
  public void addTo(TransactionBuilder transaction) {
    int maxPages = Math.max(1, Math.min(MAX_PAGES_PER_WRITE, maxWrites - transaction.writeCount()));
    Page page = nextPage();
    boolean full = false;
    for (PageEntry entry : dirtyEntries()) {
      if (transaction.conditionCount() >= maxConditions) {
        break;
      }
      JsonNode value = Json.tree(entry.snapshot());
      int bytes = bytes(entry, value);
      if (page.contentBytes() + bytes > pageBytes && !page.entriesInFlight().isEmpty()) {
        if (pagesInFlight.size() >= maxPages) {
          full = true;
          break;
        }
        page = nextPage();
      }
      add(page, entry, value, bytes, transaction);
    }
    if (!full) {
      compactInto(page, transaction);
    }
    for (Page written : pagesInFlight) {
      transaction.ifVersion(written.key, written.version());
      transaction.put(written.key, written.content());
    }
  }

  /** Returns a copy, because adding an entry to a page removes it from the changed entries. */
  private List<PageEntry> dirtyEntries() {
    List<PageEntry> dirty = new ArrayList<>();
    for (PageEntry entry : changedEntries) {
      if (entry.dirty()) {
        dirty.add(entry);
      }
    }
    return dirty;
  }

  private Page nextPage() {
    Page page = retryPage != null ? retryPage : allocator.allocate(pagesInFlight);
    retryPage = null;
    pagesInFlight.add(page);
    return page;
  }

  private void add(
      Page page, PageEntry entry, JsonNode value, int bytes, TransactionBuilder transaction) {
    page.add(entry, value, bytes);
    entry.beginWrite(transaction);
    changedEntries.remove(entry);
  }

  private static int bytes(PageEntry entry, JsonNode value) {
    return Json.write(value).length + entry.id().length() + ENTRY_OVERHEAD_BYTES;
  }

  /** Adds entries of the least filled page to the written page, as far as size and limits allow. */
  private void compactInto(Page page, TransactionBuilder transaction) {
    Page leastFilled = allocator.leastFilledPage(pagesInFlight, MAX_PAGES_WITHOUT_COMPACTION);
    if (leastFilled == null) {
      return;
    }
    for (PageEntry entry : List.copyOf(leastFilled.liveEntries)) {
      if (page.contains(entry) || transaction.conditionCount() >= maxConditions) {
        continue;
      }
      JsonNode value = Json.tree(entry.snapshot());
      int bytes = bytes(entry, value);
      if (page.contentBytes() + bytes <= pageBytes) {
        add(page, entry, value, bytes, transaction);
      }
    }
  }

  @Override
  public void onApplied(long revision) {
    for (Page page : pagesInFlight) {
      page.setVersion(revision);
      for (PageEntry entry : page.entriesInFlight()) {
        allocator.remove(entry);
        entry.onApplied();
        if (!entry.obsolete()) {
          allocator.place(entry, page);
        }
        requeueIfDirty(entry);
      }
    }
    endWrite();
  }

  @Override
  public void onNotApplied() {
    retryPage = pagesInFlight.isEmpty() ? null : pagesInFlight.get(0);
    for (Page page : pagesInFlight) {
      for (PageEntry entry : page.entriesInFlight()) {
        entry.onNotApplied();
        requeueIfDirty(entry);
      }
    }
    endWrite();
  }

  private void requeueIfDirty(PageEntry entry) {
    if (entry.dirty()) {
      changedEntries.add(entry);
    }
  }

  private void endWrite() {
    pagesInFlight.forEach(Page::endWrite);
    pagesInFlight.clear();
  }

  @Override
  public boolean dependsOn(String key) {
    return key.startsWith(prefix)
        || changedEntries.stream().anyMatch(entry -> entry.dependsOn(key));
  }

  @Override
  public void onConflict(String key, VersionedValue stored) {
    allocator.setVersion(key, VersionedValue.versionOf(stored));
    for (PageEntry entry : List.copyOf(changedEntries)) {
      if (entry.dependsOn(key)) {
        entry.onConflict(stored);
      }
    }
  }

  /** Returns how many pages hold entries that are still needed. */
  public int pagesInUse() {
    return allocator.pagesInUse();
  }
}
