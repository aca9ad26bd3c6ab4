package dev.windbend.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which pages there are, and which entries' newest copies they hold. A page none of whose entries
 * counts any more is free, and is written anew; there is a new one only if none is free.
 */
final class PageAllocator {
  private final String prefix;
  private final List<Page> pages = new ArrayList<>();
  private final Map<PageEntry, Page> pageOf = new HashMap<>();
  private int nextIndex;

  /** Pages have the keys prefix + 0, prefix + 1 and so on. */
  PageAllocator(String prefix) {
    this.prefix = prefix;
  }

  /** Adds a page that a former leader stored. */
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
      return -1; // a key that no release writes: never the next one either
    }
  }

  /** A free page, or a new one; none of those in flight. */
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

  /** The page in use with the fewest entries; null if no more than so many are in use. */
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

  /** Whether an entry of the page still counts. */
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

  /** The entry's newest copy is in this page from now on. */
  void place(PageEntry entry, Page page) {
    pageOf.put(entry, page);
    page.liveEntries.add(entry);
  }

  /** The entry's newest copy counts no more. */
  void remove(PageEntry entry) {
    Page page = pageOf.remove(entry);
    if (page != null) {
      page.liveEntries.remove(entry);
    }
  }

  /** The key of a page has this version; other keys are ignored. */
  void setVersion(String key, long version) {
    for (Page page : pages) {
      if (page.key.equals(key)) {
        page.setVersion(version);
      }
    }
  }

  /** How many pages hold an entry that counted when it was last looked at. */
  int pagesInUse() {
    int count = 0;
    for (Page page : pages) {
      count += page.liveEntries.isEmpty() ? 0 : 1;
    }
    return count;
  }
}
