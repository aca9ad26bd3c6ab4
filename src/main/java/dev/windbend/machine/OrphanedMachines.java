package dev.windbend.machine;

import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.Json;
import dev.windbend.store.KeyValue;
import dev.windbend.store.StoreClient;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Adopts machines that send heartbeats or are listed by the cloud although no shard has them on
 * record, and distributes them among the shards. The replica may lag behind, so the records are
 * first read from the state service itself. The record of a request is written before its machines
 * are created; so a machine is orphaned if no record names it and no request of its kind is
 * unanswered.
 */
public final class OrphanedMachines {
  private static final long SEARCH_DELAY_MS = 1_000;
  private static final int MAX_CANDIDATES_PER_SEARCH = 150;

  private final EventLoop loop;
  private final StoreClient store;
  private final Fleet fleet;
  private final int shardCount;
  private final Map<String, OrphanedMachine> candidates = new LinkedHashMap<>();

  /**
   * Names of adopted machines. Under load the record of an adoption may be written late, and a
   * second record for the same machine must not be created meanwhile.
   */
  private final Set<String> adopted = new HashSet<>();

  private boolean searching;
  private boolean closed;
  private int nextShard;

  /** Creates an instance that adopts through this fleet, and assigns to all shards in turn. */
  public OrphanedMachines(EventLoop loop, StoreClient store, Fleet fleet, int shardCount) {
    this.loop = loop;
    this.store = store;
    this.fleet = fleet;
    this.shardCount = shardCount;
  }

  /** Stops adopting machines. */
  public void close() {
    closed = true;
  }

  /** Adds a machine that seems to be on no record, and schedules a search of the records. */
  public void addCandidate(String machine, OrphanedMachine orphaned) {
    if (candidates.size() < MAX_CANDIDATES_PER_SEARCH && !adopted.contains(machine)) {
      candidates.put(machine, orphaned);
    }
    if (!searching && !closed && !candidates.isEmpty()) {
      searching = true;
      loop.after(
          SEARCH_DELAY_MS,
          () -> {
            Map<String, OrphanedMachine> searched = new LinkedHashMap<>(candidates);
            candidates.clear();
            searchPage(null, searched, new HashSet<>());
          });
    }
  }

  /**
   * Reads a page of records, and then the following pages.
   *
   * @param startAfter key after which the page begins; null: at the first record
   * @param remaining candidates that no unanswered request read so far may have created
   * @param recorded names of machines on the records read so far
   */
  private void searchPage(
      String startAfter, Map<String, OrphanedMachine> remaining, Set<String> recorded) {
    store.list(
        ScaleOutRecord.KEY_PREFIX,
        startAfter,
        page -> {
          if (closed) {
            return;
          }
          if (!page.answered()) {
            searching = false;
            return;
          }
          page.items().forEach(item -> exclude(item, remaining, recorded));
          String next = page.nextStartAfter();
          if (next != null) {
            searchPage(next, remaining, recorded);
            return;
          }
          searching = false;
          remaining.keySet().removeAll(recorded);
          remaining.keySet().removeAll(adopted);
          adopted.addAll(remaining.keySet());
          distribute(remaining);
        });
  }

  private static void exclude(
      KeyValue item, Map<String, OrphanedMachine> remaining, Set<String> recorded) {
    ScaleOutRecord record = Json.read(item.value(), ScaleOutRecord.class);
    if (record == null) {
      return;
    }
    if (record.unanswered()) {
      remaining.values().removeIf(orphaned -> orphaned.mayBelongTo(record));
    } else {
      recorded.addAll(record.machines());
    }
  }

  private void distribute(Map<String, OrphanedMachine> orphaned) {
    List<Map<OrphanedMachine, List<String>>> byShard = new ArrayList<>();
    for (int shard = 0; shard < shardCount; shard++) {
      byShard.add(new LinkedHashMap<>());
    }
    orphaned.forEach(
        (name, kind) ->
            byShard
                .get(nextShard++ % shardCount)
                .computeIfAbsent(kind, key -> new ArrayList<>())
                .add(name));
    for (int shard = 0; shard < shardCount; shard++) {
      int toShard = shard;
      byShard.get(shard).forEach((kind, names) -> fleet.adopt(kind, names, toShard));
    }
  }
}
