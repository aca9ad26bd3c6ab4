package dev.windbend.machine;

import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.Json;
import dev.windbend.store.StoreClient;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Machines that report or are listed, but are on nobody's record: taken in and dealt out among the
 * shards. The mirror may lag, so the rentals are read from the state service itself first: a
 * machine that exists was preceded by its rental's record, so one that no record names, while none
 * of its kind is without an answer, is nobody's.
 */
public final class OrphanedMachines {
  private static final long PAUSE_MS = 1_000;
  private static final int MOST = 150;

  private final EventLoop loop;
  private final StoreClient store;
  private final Fleet fleet;
  private final int shards;
  private final Map<String, OrphanedMachine> noted = new LinkedHashMap<>();

  /** Dealt out; the record that says so may take a while under load, and must stay the only one. */
  private final Set<String> dealt = new HashSet<>();

  private boolean looking;
  private boolean closed;
  private int next;

  public OrphanedMachines(EventLoop loop, StoreClient store, Fleet fleet, int shards) {
    this.loop = loop;
    this.store = store;
    this.fleet = fleet;
    this.shards = shards;
  }

  public void close() {
    closed = true;
  }

  public void note(String machine, OrphanedMachine stray) {
    if (noted.size() < MOST && !dealt.contains(machine)) {
      noted.put(machine, stray);
    }
    if (!looking && !closed && !noted.isEmpty()) {
      looking = true;
      loop.after(
          PAUSE_MS,
          () -> {
            Map<String, OrphanedMachine> open = new LinkedHashMap<>(noted);
            noted.clear();
            look(null, open, new HashSet<>());
          });
    }
  }

  private void look(String from, Map<String, OrphanedMachine> open, Set<String> taken) {
    store.list(
        ScaleOutRecord.KEYS,
        from,
        page -> {
          if (closed) {
            return;
          }
          if (!page.ok()) {
            looking = false;
            return;
          }
          for (StoreClient.Item i : page.items()) {
            ScaleOutRecord h = Json.read(i.value(), ScaleOutRecord.class);
            if (h != null && h.open()) {
              open.values().removeIf(s -> s.mayBelongTo(h));
            } else if (h != null) {
              taken.addAll(h.machines());
            }
          }
          if (page.more() && !page.items().isEmpty()) {
            look(page.items().get(page.items().size() - 1).key(), open, taken);
            return;
          }
          looking = false;
          open.keySet().removeAll(taken);
          open.keySet().removeAll(dealt);
          dealt.addAll(open.keySet());
          deal(open);
        });
  }

  private void deal(Map<String, OrphanedMachine> found) {
    List<Map<OrphanedMachine, List<String>>> hands = new ArrayList<>();
    for (int p = 0; p < shards; p++) {
      hands.add(new LinkedHashMap<>());
    }
    found.forEach(
        (name, kind) ->
            hands.get(next++ % shards).computeIfAbsent(kind, k -> new ArrayList<>()).add(name));
    for (int p = 0; p < shards; p++) {
      int to = p;
      hands.get(p).forEach((kind, names) -> fleet.adopt(kind, names, to));
    }
  }
}
