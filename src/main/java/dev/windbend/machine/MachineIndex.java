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
  private static final int MAX_FORMER_MACHINES = 20_000;

  private record Assignment(String key, int shard, long fence) {}

  private final Map<String, Assignment> assignments = new HashMap<>();
  private final Map<String, List<String>> machinesByKey = new HashMap<>();

  /** Machines that were on record: late copies of their heartbeats do not bring them back. */
  private final Map<String, Boolean> formerMachines =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > MAX_FORMER_MACHINES;
        }
      };

  /** A record has changed; null: it is gone. */
  public void recordChanged(String key, VersionedValue stored) {
    if (!key.startsWith(ScaleOutRecord.KEY_PREFIX)) {
      return;
    }
    ScaleOutRecord record = stored == null ? null : Json.read(stored.value(), ScaleOutRecord.class);
    List<String> namesAfter = record == null || record.unanswered() ? List.of() : record.machines();
    for (String name : machinesByKey.getOrDefault(key, List.of())) {
      Assignment h = assignments.get(name);
      if (h != null && h.key.equals(key) && !namesAfter.contains(name)) {
        assignments.remove(name);
        formerMachines.put(name, true);
      }
    }
    for (String name : namesAfter) {
      Assignment h =
          new Assignment(key, ScaleOutRecord.shardOf(key), record.effectiveFence(stored.version()));
      assignments.merge(name, h, (a, b) -> a.fence > b.fence ? a : b);
    }
    if (namesAfter.isEmpty()) {
      machinesByKey.remove(key);
    } else {
      machinesByKey.put(key, namesAfter);
    }
  }

  /** The shard that the machine belongs to; -1: none. */
  public int shardOf(String machine) {
    Assignment assignment = assignments.get(machine);
    return assignment == null ? -1 : assignment.shard;
  }

  /** Whether the machine belongs to some shard. */
  public boolean contains(String machine) {
    return assignments.containsKey(machine);
  }

  /** Of all records that name the machine, this one counts. */
  boolean isCurrentRecord(String key, String machine) {
    Assignment assignment = assignments.get(machine);
    return assignment != null && assignment.key.equals(key);
  }

  /** Whether the machine belonged to some shard, and to none now. */
  public boolean isFormer(String machine) {
    return formerMachines.containsKey(machine);
  }
}
