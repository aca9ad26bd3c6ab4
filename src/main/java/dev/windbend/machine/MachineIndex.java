package dev.windbend.machine;

import dev.windbend.runtime.Json;
import dev.windbend.store.VersionedValue;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Which shard each machine belongs to, as the replica of the records tells. */
public final class MachineIndex {
  /**
   * Several fleets of 4,000 machines. A late copy of a heartbeat of a machine that was forgotten
   * even so has it taken in as an orphaned machine, which is silent and is returned: some calls, no
   * harm.
   */
  private static final int FORMER_KEPT = 20_000;

  private record Home(String key, int shard, long fence) {}

  private final Map<String, Home> homes = new HashMap<>();
  private final Map<String, List<String>> listed = new HashMap<>();

  /** Machines that were on record: late copies of their heartbeats do not bring them back. */
  private final Map<String, Boolean> former =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > FORMER_KEPT;
        }
      };

  /** A record has changed; null: it is gone. */
  public void changed(String key, VersionedValue now) {
    if (!key.startsWith(ScaleOutRecord.KEYS)) {
      return;
    }
    ScaleOutRecord r = now == null ? null : Json.read(now.value(), ScaleOutRecord.class);
    List<String> after = r == null || r.open() ? List.of() : r.machines();
    for (String name : listed.getOrDefault(key, List.of())) {
      Home h = homes.get(name);
      if (h != null && h.key.equals(key) && !after.contains(name)) {
        homes.remove(name);
        former.put(name, true);
      }
    }
    for (String name : after) {
      Home h = new Home(key, ScaleOutRecord.shard(key), r.fence(now.version()));
      homes.merge(name, h, (a, b) -> a.fence > b.fence ? a : b);
    }
    if (after.isEmpty()) {
      listed.remove(key);
    } else {
      listed.put(key, after);
    }
  }

  /** The shard that the machine belongs to; -1: none. */
  public int shardOf(String machine) {
    Home h = homes.get(machine);
    return h == null ? -1 : h.shard;
  }

  /** Whether the machine belongs to some shard. */
  public boolean knows(String machine) {
    return homes.containsKey(machine);
  }

  /** Of all records that name the machine, this one counts. */
  boolean names(String key, String machine) {
    Home h = homes.get(machine);
    return h != null && h.key.equals(key);
  }

  /** Whether the machine belonged to some shard, and to none now. */
  public boolean knew(String machine) {
    return former.containsKey(machine);
  }
}
