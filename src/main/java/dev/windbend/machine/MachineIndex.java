package dev.windbend.machine;

import dev.windbend.runtime.Json;
import dev.windbend.store.VersionedValue;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Index of the shard that each machine belongs to, built from the replica of the records. */
public final class MachineIndex {
  /**
   * Large enough for several fleets of 4,000 machines. If a delayed heartbeat arrives from a
   * machine that has been dropped from this list, the machine is adopted as orphaned, stays silent
   * and is scaled in, which costs a few calls and does no harm.
   */
  private static final int MAX_FORMER_MACHINES = 20_000;

  private record Assignment(String key, int shard, long fence) {}

  private final Map<String, Assignment> assignments = new HashMap<>();
  private final Map<String, List<String>> machinesByKey = new HashMap<>();

  /** Machines that were on record: delayed heartbeats must not add them again. */
  private final Map<String, Boolean> formerMachines =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > MAX_FORMER_MACHINES;
        }
      };

  /**
   * Updates the index after a change of a record.
   *
   * @param stored new value of the record; null: it was deleted
   */
  public void recordChanged(String key, VersionedValue stored) {
    if (!key.startsWith(ScaleOutRecord.KEY_PREFIX)) {
      return;
    }
    ScaleOutRecord record = stored == null ? null : Json.read(stored.value(), ScaleOutRecord.class);
    List<String> namesAfter = record == null || record.unanswered() ? List.of() : record.machines();
    for (String name : machinesByKey.getOrDefault(key, List.of())) {
      Assignment assignment = assignments.get(name);
      if (assignment != null && assignment.key.equals(key) && !namesAfter.contains(name)) {
        assignments.remove(name);
        formerMachines.put(name, true);
      }
    }
    for (String name : namesAfter) {
      Assignment assignment =
          new Assignment(key, ScaleOutRecord.shardOf(key), record.effectiveFence(stored.version()));
      assignments.merge(name, assignment, (a, b) -> a.fence > b.fence ? a : b);
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

  /** Whether the machine belongs to any shard. */
  public boolean contains(String machine) {
    return assignments.containsKey(machine);
  }

  /** Whether this record is the authoritative one of all records that name the machine. */
  boolean isCurrentRecord(String key, String machine) {
    Assignment assignment = assignments.get(machine);
    return assignment != null && assignment.key.equals(key);
  }

  /** Whether the machine used to belong to a shard and was removed from that shard's record. */
  public boolean isFormer(String machine) {
    return formerMachines.containsKey(machine);
  }
}
