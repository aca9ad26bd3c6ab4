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
 * Keeps many small entries in few keys, so that a write costs one change however many entries it
 * carries. A page holds whole entries; the copy in the page written last counts. Changed entries go
 * together to a page of which nothing counts any more, and if there is room they take the rest of
 * the emptiest page with them, so that pages become free again.
 */
public final class PagedStore implements PendingWrite {
  /** Left free in a page, for the punctuation around entries. */
  private static final int SPARE_BYTES = 256;

  private static final int ENTRY_BYTES = 8;
  private static final int MOST_PAGES = 3;
  private static final int FEW_PAGES = 3;

  private final String prefix;
  private final int pageBytes;
  private final int ops;
  private final LinkedHashSet<PageEntry> changed = new LinkedHashSet<>();
  private final List<Slot> slots = new ArrayList<>();
  private final Map<PageEntry, Slot> homes = new HashMap<>();
  private final Map<String, Slot> found = new HashMap<>();
  private final List<Slot> writing = new ArrayList<>();
  private int nextSlot;

  /**
   * A page of a write nobody knows the end of. The next write goes there too: were it to go
   * elsewhere, the old one could still land after it and its older entries would count.
   */
  private Slot pinned;

  private static final class Slot {
    final String key;
    final LinkedHashSet<PageEntry> live = new LinkedHashSet<>();
    final Map<String, JsonNode> content = new TreeMap<>();
    final List<PageEntry> carried = new ArrayList<>();
    long version;
    int bytes;

    Slot(String key, long version) {
      this.key = key;
      this.version = version;
    }
  }

  public PagedStore(String prefix, int valueBytes, int ops) {
    this.prefix = prefix;
    this.pageBytes = valueBytes - SPARE_BYTES;
    this.ops = ops;
  }

  /** Reads what a former owner left; hands the newest copy of each entry by its id. */
  public SortedMap<String, JsonNode> restore(Map<String, VersionedValue> stored) {
    SortedMap<String, JsonNode> newest = new TreeMap<>();
    for (Map.Entry<String, VersionedValue> s : stored.entrySet()) {
      Slot slot = new Slot(s.getKey(), s.getValue().version());
      slots.add(slot);
      nextSlot = Math.max(nextSlot, number(s.getKey()) + 1);
      PageRecord page = Json.read(s.getValue().value(), PageRecord.class);
      if (page == null || page.entries() == null) {
        continue;
      }
      page.entries()
          .forEach(
              (id, value) -> {
                Slot other = found.get(id);
                if (other == null || other.version < slot.version) {
                  found.put(id, slot);
                  newest.put(id, value);
                }
              });
    }
    return newest;
  }

  private int number(String key) {
    try {
      return Integer.parseInt(key.substring(prefix.length()));
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /** This entry was made from what {@link #restore} found. */
  public void adopt(PageEntry e) {
    Slot slot = found.remove(e.id());
    if (slot != null) {
      homes.put(e, slot);
      slot.live.add(e);
    }
  }

  /** The rest of what {@link #restore} found counts no more. */
  public void finishRestore() {
    found.clear();
  }

  public void markChanged(PageEntry e) {
    changed.add(e);
  }

  @Override
  public boolean dirty() {
    if (!writing.isEmpty()) {
      return false;
    }
    changed.removeIf(e -> !e.dirty());
    return pinned != null || !changed.isEmpty();
  }

  @Override
  public boolean urgent(long nowMs) {
    for (PageEntry e : changed) {
      if (e.dirty() && e.urgent(nowMs)) {
        return true;
      }
    }
    return pinned != null;
  }

  @Override
  public int writeCount() {
    return 1;
  }

  @Override
  public void addTo(TransactionBuilder draft) {
    int most = Math.max(1, Math.min(MOST_PAGES, ops - draft.writeCount()));
    List<PageEntry> order = new ArrayList<>();
    for (PageEntry e : changed) {
      if (e.dirty()) {
        order.add(e);
      }
    }
    Slot slot = next();
    boolean full = false;
    for (PageEntry e : order) {
      if (draft.conditionCount() >= 4 * ops - MOST_PAGES - 1) {
        break;
      }
      JsonNode value = Json.tree(e.snapshot());
      int bytes = bytes(e, value);
      if (slot.bytes + bytes > pageBytes && !slot.carried.isEmpty()) {
        if (writing.size() >= most) {
          full = true;
          break;
        }
        slot = next();
      }
      put(slot, e, value, bytes, draft);
    }
    if (!full) {
      takeAlong(slot, draft);
    }
    for (Slot s : writing) {
      draft.ifVersion(s.key, s.version);
      draft.put(s.key, new PageRecord(s.content));
    }
  }

  private void put(Slot slot, PageEntry e, JsonNode value, int bytes, TransactionBuilder draft) {
    slot.content.put(e.id(), value);
    slot.carried.add(e);
    slot.bytes += bytes;
    e.beginWrite(draft);
    changed.remove(e);
  }

  private static int bytes(PageEntry e, JsonNode value) {
    return Json.write(value).length + e.id().length() + ENTRY_BYTES;
  }

  /** The next page to write to: one of which nothing counts, else a new one. */
  private Slot next() {
    Slot free = pinned;
    pinned = null;
    for (int i = 0; free == null && i < slots.size(); i++) {
      Slot s = slots.get(i);
      if (!writing.contains(s) && !counts(s)) {
        free = s;
      }
    }
    if (free == null) {
      free = new Slot(prefix + nextSlot++, 0);
      slots.add(free);
    }
    writing.add(free);
    return free;
  }

  /** Something in this page is still needed. */
  private boolean counts(Slot s) {
    s.live.removeIf(
        e -> {
          if (e.obsolete()) {
            homes.remove(e);
          }
          return e.obsolete();
        });
    return !s.live.isEmpty();
  }

  /** Entries of the emptiest page move along, as far as there is room. */
  private void takeAlong(Slot into, TransactionBuilder draft) {
    Slot emptiest = null;
    int used = 0;
    for (Slot s : slots) {
      if (!writing.contains(s) && counts(s)) {
        used++;
        if (emptiest == null || s.live.size() < emptiest.live.size()) {
          emptiest = s;
        }
      }
    }
    if (used <= FEW_PAGES) {
      return;
    }
    for (PageEntry e : List.copyOf(emptiest.live)) {
      if (into.content.containsKey(e.id()) || draft.conditionCount() >= 4 * ops - MOST_PAGES - 1) {
        continue;
      }
      JsonNode value = Json.tree(e.snapshot());
      int bytes = bytes(e, value);
      if (into.bytes + bytes <= pageBytes) {
        put(into, e, value, bytes, draft);
      }
    }
  }

  @Override
  public void onApplied(long revision) {
    for (Slot s : writing) {
      s.version = revision;
      for (PageEntry e : s.carried) {
        Slot before = homes.remove(e);
        if (before != null) {
          before.live.remove(e);
        }
        e.onApplied();
        if (!e.obsolete()) {
          homes.put(e, s);
          s.live.add(e);
        }
        again(e);
      }
    }
    settled();
  }

  @Override
  public void onNotApplied() {
    pinned = writing.isEmpty() ? null : writing.get(0);
    for (Slot s : writing) {
      for (PageEntry e : s.carried) {
        e.onNotApplied();
        again(e);
      }
    }
    settled();
  }

  private void again(PageEntry e) {
    if (e.dirty()) {
      changed.add(e);
    }
  }

  private void settled() {
    for (Slot s : writing) {
      s.content.clear();
      s.carried.clear();
      s.bytes = 0;
    }
    writing.clear();
  }

  @Override
  public boolean ownsKey(String key) {
    return key.startsWith(prefix) || changed.stream().anyMatch(e -> e.dependsOn(key));
  }

  @Override
  public void onConflict(String key, VersionedValue now) {
    for (Slot s : slots) {
      if (s.key.equals(key)) {
        s.version = now == null ? 0 : now.version();
      }
    }
    for (PageEntry e : List.copyOf(changed)) {
      if (e.dependsOn(key)) {
        e.onConflict(now);
      }
    }
  }

  /** How many pages hold something that counts. */
  public int pagesInUse() {
    int n = 0;
    for (Slot s : slots) {
      n += s.live.isEmpty() ? 0 : 1;
    }
    return n;
  }
}
