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
 * A local replica of all keys with one prefix. The keys are listed once and then updated by a
 * watch. The replica lags behind the store, so a transaction based on its data must be conditional
 * on the versions read from it.
 */
public final class Replica {
  private static final Logger LOG = LoggerFactory.getLogger(Replica.class);

  /**
   * Time after which the store answers a watch without changes. A watch without a response times
   * out soon after it, which bounds the replica's lag.
   */
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

  /** Receives each change of the replica. Changes of one key arrive in order of their revisions. */
  public interface Listener {
    /**
     * Called after a key was written or deleted.
     *
     * @param stored the key's new value and version; null if the key was deleted
     */
    void onChange(String key, VersionedValue stored);
  }

  /** Creates an empty replica; {@link #start} loads it. */
  public Replica(EventLoop loop, StoreClient store, String prefix) {
    this.loop = loop;
    this.store = store;
    this.prefix = prefix;
  }

  /** Adds a listener for all further changes, including the keys of the first listing. */
  public void addListener(Listener listener) {
    listeners.add(listener);
  }

  /** Lists the keys, then watches them for changes. */
  public void start() {
    listAll();
  }

  /** Returns whether the keys have been listed completely at least once. */
  public boolean synced() {
    return synced;
  }

  /**
   * Returns the store revision up to which the replica contains all changes; -1 before the first
   * listing is complete.
   */
  public long revision() {
    return revision;
  }

  /** Returns the time, by the monotonic clock, up to which the replica contains all changes. */
  public long completeUntilMs() {
    return completeUntilMs;
  }

  /** Returns the key's value at the replica's revision or later; null if the key did not exist. */
  public VersionedValue get(String key) {
    return keys.get(key);
  }

  /** Returns a live view of the keys with this prefix and their values. */
  public NavigableMap<String, VersionedValue> withPrefix(String keyPrefix) {
    return keys.subMap(keyPrefix, true, keyPrefix + '\uffff', false);
  }

  private void listAll() {
    listPages(null, NOT_LISTED, new HashSet<>());
  }

  /**
   * Reads a page of the list and, after it, all further pages.
   *
   * @param startAfter the key after which the page starts; null for the first page
   * @param firstRevision the revision of the first page; {@link #NOT_LISTED} before it is read
   * @param listed all keys of the pages read so far
   */
  private void listPages(String startAfter, long firstRevision, Set<String> listed) {
    store.list(
        prefix,
        startAfter,
        page -> {
          if (!page.answered()) {
            loop.after(LIST_RETRY_MS, () -> listPages(startAfter, firstRevision, listed));
            return;
          }
          // Later pages may be read at newer revisions, because the watch replays all changes since
          // the first page.
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
        LOG.info(
            "replica revision compacted by the store, listing keys again: revision={}", revision);
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
