package dev.windbend.machine;

import dev.windbend.daemon.io.Json;
import dev.windbend.store.Stored;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Which part each machine belongs to, as the mirrored records tell. */
public final class Directory {
  private static final int FORMER_KEPT = 4_000;

  private final Object2IntOpenHashMap<String> own = new Object2IntOpenHashMap<>();
  private final Object2IntOpenHashMap<String> rented = new Object2IntOpenHashMap<>();
  private final Map<String, List<String>> listed = new HashMap<>();

  /** Machines that were on record: late copies of their reports do not bring them back. */
  private final Map<String, Boolean> former =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > FORMER_KEPT;
        }
      };

  public Directory() {
    own.defaultReturnValue(-1);
    rented.defaultReturnValue(-1);
  }

  /** A record has changed; null: it is gone. */
  public void changed(String key, Stored now) {
    if (key.startsWith(MachineRecord.KEYS)) {
      String name = key.substring(MachineRecord.KEYS.length());
      MachineRecord r = now == null ? null : Json.read(now.value(), MachineRecord.class);
      if (r != null) {
        own.put(name, r.part());
      } else {
        own.removeInt(name);
        former.put(name, true);
      }
    } else if (key.startsWith(HireRecord.KEYS)) {
      HireRecord r = now == null ? null : Json.read(now.value(), HireRecord.class);
      List<String> after = r == null || r.open() ? List.of() : r.machines();
      for (String name : listed.getOrDefault(key, List.of())) {
        rented.removeInt(name);
        former.put(name, true);
      }
      for (String name : after) {
        rented.put(name, HireRecord.part(key));
        former.remove(name);
      }
      if (after.isEmpty()) {
        listed.remove(key);
      } else {
        listed.put(key, after);
      }
    }
  }

  /** -1: nobody's. */
  public int partOf(String machine) {
    int p = own.getInt(machine);
    return p >= 0 ? p : rented.getInt(machine);
  }

  public boolean hasOwnRecord(String machine) {
    return own.containsKey(machine);
  }

  public boolean knows(String machine) {
    return partOf(machine) >= 0;
  }

  public boolean knew(String machine) {
    return former.containsKey(machine);
  }
}
