package dev.windbend.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the pages and which page holds the latest copy of each entry. A page is free if it holds
 * no latest copy of an entry that is still needed. Free pages are reused before new ones are
 * created.
 */
final class PageAllocator {
  private final String prefix;
  private final List<Page> pages = new ArrayList<>();
  private final Map<PageEntry, Page> pageOf = new HashMap<>();
  private int nextIndex;

  /** Creates an allocator without pages. The pages' keys are the prefix followed by 0, 1, 2, ... */
  PageAllocator(String prefix) {
    this.prefix = prefix;
  }

  /** Adds a page stored by a previous leader. */
  Page addStored(String key, long version) {
    Page page = new Page(key, version);
    pages.add(page);
    nextIndex = Math.max(nextIndex, index(key) + 1);
    return page;
  }

  private int index(String key) {
    try {
      return Integer.parseInt(key.substring(prefix.length()));
    } catch (NumberFormatException e) {
      return -1; // no release writes such a key, so it does not affect the next index
    }
  }

  /** Returns a free page that is not in flight, or a new page if there is none. */
  Page allocate(List<Page> pagesInFlight) {
    for (Page page : pages) {
      if (!pagesInFlight.contains(page) && !inUse(page)) {
        return page;
      }
    }
    Page page = new Page(prefix + nextIndex++, 0);
    pages.add(page);
    return page;
  }

  /**
   * Returns the page in use with the fewest entries, leaving out pages in flight.
   *
   * @return null if at most {@code maxPagesWithoutCompaction} pages are in use
   */
  Page leastFilledPage(List<Page> pagesInFlight, int maxPagesWithoutCompaction) {
    Page leastFilled = null;
    int pagesUsed = 0;
    for (Page page : pages) {
      if (!pagesInFlight.contains(page) && inUse(page)) {
        pagesUsed++;
        if (leastFilled == null || page.liveEntries.size() < leastFilled.liveEntries.size()) {
          leastFilled = page;
        }
      }
    }
    return pagesUsed <= maxPagesWithoutCompaction ? null : leastFilled;
  }

  /** Returns whether the page holds an entry that is still needed; drops obsolete entries. */
  private boolean inUse(Page page) {
    page.liveEntries.removeIf(this::removeIfObsolete);
    return !page.liveEntries.isEmpty();
  }

  private boolean removeIfObsolete(PageEntry entry) {
    if (entry.obsolete()) {
      pageOf.remove(entry);
    }
    return entry.obsolete();
  }

  /** Records that the latest copy of the entry is in this page. */
  void place(PageEntry entry, Page page) {
    pageOf.put(entry, page);
    page.liveEntries.add(entry);
  }

  /** Removes the record of the entry's latest copy, if any. */
  void remove(PageEntry entry) {
    Page page = pageOf.remove(entry);
    if (page != null) {
      page.liveEntries.remove(entry);
    }
  }

  /** Sets the version of the page with this key; ignores keys of no page. */
  void setVersion(String key, long version) {
    for (Page page : pages) {
      if (page.key.equals(key)) {
        page.setVersion(version);
      }
    }
  }

  /**
   * Returns how many pages hold entries that were still needed when the page was last checked. Does
   * not check again.
   */
  int pagesInUse() {
    int count = 0;
    for (Page page : pages) {
      count += page.liveEntries.isEmpty() ? 0 : 1;
    }
    return count;
  }
}
