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
 * Keeps many small entries in few keys, so that a write changes few keys however many entries it
 * carries. A page holds whole entries; the copy in the page written last counts. Changed entries go
 * together to a free page, one of which nothing counts any more; if there is room, entries of the
 * emptiest page are moved along, so that it becomes free (compaction).
 */
public final class PagedStore implements PendingWrite {
  /** Left free in a page, for the JSON around the entries. */
  private static final int PAGE_OVERHEAD_BYTES = 256;

  /** What an entry takes beside its id and value. */
  private static final int ENTRY_OVERHEAD_BYTES = 8;

  private static final int MAX_PAGES_PER_WRITE = 3;

  /** So few pages in use need no compaction. */
  private static final int MAX_PAGES_WITHOUT_COMPACTION = 3;

  private final String prefix;
  private final int pageBytes;
  private final int maxWrites;
  private final int maxConditions;
  private final LinkedHashSet<PageEntry> changedEntries = new LinkedHashSet<>();
  private final PageAllocator allocator;
  private final List<Page> pagesInFlight = new ArrayList<>();

  /** While a former leader's pages are being taken over: where the newest copies are, by id. */
  private final Map<String, Page> restoredPageById = new HashMap<>();

  /**
   * A page of a write of unknown outcome; null: none. The next write goes to this page too: were it
   * to go elsewhere, the former one could still be applied after it, and its older entries would
   * count.
   */
  private Page retryPage;

  /**
   * A store without entries.
   *
   * @param prefix of the pages' keys, which end in a number
   * @param valueBytes the most that a key's value may take
   * @param maxWrites how many keys a transaction may write
   */
  public PagedStore(String prefix, int valueBytes, int maxWrites) {
    this.prefix = prefix;
    this.pageBytes = valueBytes - PAGE_OVERHEAD_BYTES;
    this.maxWrites = maxWrites;
    // The rest is for the pages themselves and the guard of the group commit.
    this.maxConditions = StoreClient.CONDITIONS_PER_WRITE * maxWrites - MAX_PAGES_PER_WRITE - 1;
    this.allocator = new PageAllocator(prefix);
  }

  /**
   * Takes over the pages that a former leader stored. To be followed by {@link #adopt} for each
   * entry still needed, then {@link #finishRestore}.
   *
   * @return the value of each entry's newest copy, by the entry's id
   */
  public SortedMap<String, JsonNode> restore(Map<String, VersionedValue> stored) {
    SortedMap<String, JsonNode> newest = new TreeMap<>();
    for (Map.Entry<String, VersionedValue> key : stored.entrySet()) {
      Page page = allocator.addStored(key.getKey(), key.getValue().version());
      PageRecord record = Json.read(key.getValue().value(), PageRecord.class);
      if (record != null && record.entries() != null) {
        record.entries().forEach((id, value) -> restoreCopy(id, value, page, newest));
      }
    }
    return newest;
  }

  private void restoreCopy(
      String id, JsonNode value, Page page, SortedMap<String, JsonNode> newest) {
    Page other = restoredPageById.get(id);
    if (other == null || other.version() < page.version()) {
      restoredPageById.put(id, page);
      newest.put(id, value);
    }
  }

  /** The entry was made from the copy that {@link #restore} found under its id, if any. */
  public void adopt(PageEntry entry) {
    Page page = restoredPageById.remove(entry.id());
    if (page != null) {
      allocator.place(entry, page);
    }
  }

  /** Copies found by {@link #restore} and not adopted count no more. */
  public void finishRestore() {
    restoredPageById.clear();
  }

  /** The entry has changed; it goes with the next write. */
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

  /** A copy, as entries leave the changed ones while they are added to a page. */
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

  /** Moves entries of the emptiest page along, as far as there is room. */
  private void compactInto(Page page, TransactionBuilder transaction) {
    Page emptiest = allocator.leastFilledPage(pagesInFlight, MAX_PAGES_WITHOUT_COMPACTION);
    if (emptiest == null) {
      return;
    }
    for (PageEntry entry : List.copyOf(emptiest.liveEntries)) {
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

  /** How many pages hold an entry that is still needed. */
  public int pagesInUse() {
    return allocator.pagesInUse();
  }
}
