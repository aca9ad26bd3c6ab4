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

/** A mirror of all keys below one prefix, kept by reading once and following from there. */
public final class Replica {
  private static final Logger LOG = LoggerFactory.getLogger(Replica.class);

  /** A watch that hangs is given up soon after this, so that the mirror does not lag for longer. */
  private static final long BLOCK_MS = 3_000;

  private final EventLoop loop;
  private final StoreClient store;
  private final String prefix;
  private final TreeMap<String, VersionedValue> keys = new TreeMap<>();
  private final List<Listener> listeners = new ArrayList<>();
  private long revision = -1;
  private long completeMs = Long.MIN_VALUE / 2;
  private boolean synced;

  /** Told of every change; {@code now} is null if the key is gone. */
  public interface Listener {
    void changed(String key, VersionedValue now);
  }

  public Replica(EventLoop loop, StoreClient store, String prefix) {
    this.loop = loop;
    this.store = store;
    this.prefix = prefix;
  }

  public void listen(Listener listener) {
    listeners.add(listener);
  }

  public void start() {
    read(null, -1, new HashSet<>());
  }

  public boolean synced() {
    return synced;
  }

  /** Everything up to this revision is in the mirror. */
  public long revision() {
    return revision;
  }

  /** All that was written before then is in the mirror (steady clock). */
  public long completeMs() {
    return completeMs;
  }

  public VersionedValue get(String key) {
    return keys.get(key);
  }

  public NavigableMap<String, VersionedValue> below(String start) {
    return keys.subMap(start, true, start + '\uffff', false);
  }

  private void read(String from, long first, Set<String> seen) {
    store.list(
        prefix,
        from,
        page -> {
          if (!page.ok()) {
            loop.after(500, () -> read(from, first, seen));
            return;
          }
          // Changes since the first page are replayed, so later pages may be newer: that is fine.
          long start = first < 0 ? page.revision() : first;
          for (StoreClient.Item i : page.items()) {
            seen.add(i.key());
            apply(i);
          }
          if (page.more() && !page.items().isEmpty()) {
            read(page.items().get(page.items().size() - 1).key(), start, seen);
            return;
          }
          for (String key : List.copyOf(keys.keySet())) {
            if (!seen.contains(key) && keys.get(key).version() <= start) {
              apply(new StoreClient.Item(key, null, start));
            }
          }
          revision = start;
          synced = true;
          LOG.info("mirror read: {} keys at revision {}", keys.size(), start);
          follow();
        });
  }

  private void follow() {
    long sentMs = loop.nowMs();
    store.follow(
        prefix,
        revision,
        BLOCK_MS,
        got -> {
          if (got.status() == 410) {
            LOG.info("mirror too old at revision {}, reading again", revision);
            read(null, -1, new HashSet<>());
            return;
          }
          if (got.status() != 200) {
            loop.after(400, this::follow);
            return;
          }
          for (StoreClient.Item i : got.events()) {
            apply(i);
          }
          revision = Math.max(revision, got.revision());
          completeMs = sentMs;
          loop.after(store.pauseMs(), this::follow);
        });
  }

  private void apply(StoreClient.Item item) {
    VersionedValue old = keys.get(item.key());
    if (old != null && old.version() >= item.version()) {
      return;
    }
    if (item.value() == null) {
      if (old == null) {
        return;
      }
      keys.remove(item.key());
    } else {
      keys.put(item.key(), new VersionedValue(item.value(), item.version()));
    }
    VersionedValue now = keys.get(item.key());
    for (Listener l : listeners) {
      l.changed(item.key(), now);
    }
  }
}
