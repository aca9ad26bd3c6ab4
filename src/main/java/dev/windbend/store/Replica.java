package dev.windbend.store;

import dev.windbend.runtime.EventLoop;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A local replica of all keys with one prefix: listed once, then kept by a watch. It lags behind
 * the store, so whatever depends on a version is committed on condition of it.
 */
public final class Replica {
  private static final Logger LOG = LoggerFactory.getLogger(Replica.class);

  /** A watch that hangs is given up soon after this, so the replica does not lag for longer. */
  private static final long WATCH_BLOCK_MS = 3_000;

  private static final long LIST_RETRY_MS = 500;
  private static final long WATCH_RETRY_MS = 400;
  private static final long NOT_LISTED = -1;

  private final EventLoop loop;
  private final StoreClient store;
  private final String prefix;
  private final TreeMap<String, VersionedValue> keys = new TreeMap<>();
  private final List<Listener> listeners = new ArrayList<>();
  private long revision = NOT_LISTED;
  private long completeUntilMs = Long.MIN_VALUE / 2;
  private boolean synced;

  /** Gets each change of the replica, in the order of the store's revisions for any one key. */
  public interface Listener {
    /**
     * A key was written or deleted.
     *
     * @param stored what it holds now; null: it does not exist any more
     */
    void onChange(String key, VersionedValue stored);
  }

  /** An empty replica; {@link #start} fills it. */
  public Replica(EventLoop loop, StoreClient store, String prefix) {
    this.loop = loop;
    this.store = store;
    this.prefix = prefix;
  }

  /** Adds a listener for all changes from now on, those of the first list included. */
  public void addListener(Listener listener) {
    listeners.add(listener);
  }

  /** Lists the keys, and watches them from then on. */
  public void start() {
    listAll();
  }

  /** Whether the keys have been listed once. */
  public boolean synced() {
    return synced;
  }

  /** All changes up to this revision of the store are in the replica; -1: not listed yet. */
  public long revision() {
    return revision;
  }

  /** All changes made before this time of the monotonic clock are in the replica. */
  public long completeUntilMs() {
    return completeUntilMs;
  }

  /** What the key held at the replica's revision or later; null: it did not exist. */
  public VersionedValue get(String key) {
    return keys.get(key);
  }

  /** The keys that begin so, with what they hold; a view that changes with the replica. */
  public NavigableMap<String, VersionedValue> withPrefix(String keyPrefix) {
    return keys.subMap(keyPrefix, true, keyPrefix + '\uffff', false);
  }

  private void listAll() {
    listPages(null, NOT_LISTED, new HashSet<>());
  }

  /**
   * Reads one page after another.
   *
   * @param from the key that the page starts after; null: the first page
   * @param firstRevision the revision of the first page
   * @param listed all keys on the pages so far
   */
  private void listPages(String from, long firstRevision, Set<String> listed) {
    store.list(
        prefix,
        from,
        page -> {
          if (!page.answered()) {
            loop.after(LIST_RETRY_MS, () -> listPages(from, firstRevision, listed));
            return;
          }
          // The watch replays the changes since the first page, so later pages may be newer.
          long listRevision = firstRevision == NOT_LISTED ? page.revision() : firstRevision;
          for (KeyValue item : page.items()) {
            listed.add(item.key());
            apply(item);
          }
          String next = page.nextStartAfter();
          if (next != null) {
            listPages(next, listRevision, listed);
          } else {
            onListComplete(listRevision, listed);
          }
        });
  }

  private void onListComplete(long listRevision, Set<String> listed) {
    for (String key : List.copyOf(keys.keySet())) {
      if (!listed.contains(key) && keys.get(key).version() <= listRevision) {
        apply(new KeyValue(key, null, listRevision));
      }
    }
    revision = listRevision;
    synced = true;
    LOG.info("replica listed: keys={} revision={}", keys.size(), listRevision);
    watch();
  }

  private void watch() {
    long sentMs = loop.nowMs();
    store.watch(prefix, revision, WATCH_BLOCK_MS, result -> onWatchResult(result, sentMs));
  }

  private void onWatchResult(WatchResult result, long sentMs) {
    switch (result.status()) {
      case COMPACTED -> {
        LOG.info("replica behind the store's compaction, listing again: revision={}", revision);
        listAll();
      }
      case UNAVAILABLE -> loop.after(WATCH_RETRY_MS, this::watch);
      case OK -> {
        for (KeyValue change : result.changes()) {
          apply(change);
        }
        revision = Math.max(revision, result.revision());
        completeUntilMs = sentMs;
        loop.after(store.pollIntervalMs(), this::watch);
      }
    }
  }

  private void apply(KeyValue change) {
    VersionedValue old = keys.get(change.key());
    if (old != null && old.version() >= change.version()) {
      return;
    }
    VersionedValue stored = null;
    if (change.value() != null) {
      stored = new VersionedValue(change.value(), change.version());
      keys.put(change.key(), stored);
    } else if (old != null) {
      keys.remove(change.key());
    } else {
      return;
    }
    for (Listener listener : listeners) {
      listener.onChange(change.key(), stored);
    }
  }
}
