package dev.windbend.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.job.JobRecord;
import dev.windbend.machine.ScaleOutRecord;
import dev.windbend.runtime.Json;
import dev.windbend.store.PageRecord;
import dev.windbend.zone.ZoneRecord;
import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What a saved cluster holds, record by record: each must be read and written back unchanged. */
final class StoredDay {
  /** What the stored file must hold for the test to mean anything. */
  enum Kind {
    LIVE_JOB,
    CANCELLED_LIVE_JOB,
    JOB_WITH_TYPES,
    JOB_WITH_ZONE,
    JOB_WITH_DUE_TIME,
    DONE_JOB,
    CANCELLED_ENDED_JOB,
    PAGE,
    DONE_TASKS,
    PLACEMENTS,
    OPEN_RENTAL,
    RENTAL,
    TRANSFER,
    MACHINE_BETWEEN_SHARDS,
    UNREACHABLE_ZONE,
    DISPLACED_JOBS,
    SHARD_CLAIM,
    LEASE,
    STARTING_TASK,
    RUNNING_TASK,
    EXITED_TASK
  }

  private static final char BATCH_MARK = ':';

  private final Map<Kind, Integer> counts = new EnumMap<>(Kind.class);

  /** The shards with a record that names the machine. */
  private final Map<String, Set<String>> shardsOf = new HashMap<>();

  private StoredDay() {
    for (Kind kind : Kind.values()) {
      counts.put(kind, 0);
    }
  }

  /**
   * How many there are of each kind.
   *
   * @throws AssertionError if a record is of no known kind or can't be read as a whole
   */
  static Map<Kind, Integer> count(JsonNode saved) {
    StoredDay day = new StoredDay();
    for (JsonNode k : saved.get("store").get("keys")) {
      day.record(k.get("key").asText(), k.get("value"));
    }
    day.counts.put(Kind.LEASE, saved.get("store").get("leases").size());
    day.counts.put(
        Kind.MACHINE_BETWEEN_SHARDS,
        (int) day.shardsOf.values().stream().filter(shards -> shards.size() > 1).count());
    for (JsonNode machine : saved.get("machines")) {
      machine.get("tasks").forEach(day::task);
    }
    return day.counts;
  }

  private void record(String key, JsonNode value) {
    String[] path = key.split("/", -1);
    String family = path[0] + (path.length > 2 ? "/" + path[1] : "");
    switch (family) {
      case "w/j" -> live(key, read(key, value, JobRecord.Live.class));
      case "a" -> ended(key, read(key, value, JobRecord.Ended.class));
      case "w/p" -> page(key, read(key, value, PageRecord.class));
      case "w/h" -> machines(key, path[2], read(key, value, ScaleOutRecord.class));
      case "w/z" -> zone(key, read(key, value, ZoneRecord.class));
      case "w/c" -> {
        require(value.path("owner").isTextual(), key);
        add(Kind.SHARD_CLAIM);
      }
      default -> throw new AssertionError("of no known kind: " + key);
    }
  }

  /** Nothing of it is lost or named otherwise when it is read and written back. */
  private static <T> T read(String key, JsonNode value, Class<T> type) {
    T record = Json.read(value, type);
    require(record != null, key);
    String back = new String(Json.write(record), StandardCharsets.UTF_8);
    require(back.equals(value.toString()), key + " holds " + value + ", written back as " + back);
    return record;
  }

  private void live(String key, JobRecord.Live record) {
    require(record.spec() != null && key.endsWith("/" + record.spec().uid()), key);
    require(record.spec().tasks() > 0 && record.submittedWallMs() > 0, key);
    require(record.spec().team() != null && record.spec().urgency() != null, key);
    add(record.cancelled() ? Kind.CANCELLED_LIVE_JOB : Kind.LIVE_JOB);
    addIf(record.spec().types() != null, Kind.JOB_WITH_TYPES);
    addIf(record.spec().zone() != null, Kind.JOB_WITH_ZONE);
    addIf(record.spec().dueSeconds() != null, Kind.JOB_WITH_DUE_TIME);
  }

  private void ended(String key, JobRecord.Ended record) {
    switch (record.status()) {
      case "done" -> add(Kind.DONE_JOB);
      case "aborted" -> add(Kind.CANCELLED_ENDED_JOB);
      default -> throw new AssertionError(key);
    }
  }

  private void page(String key, PageRecord page) {
    add(Kind.PAGE);
    require(page.entries() != null, key);
    page.entries()
        .forEach(
            (id, value) -> {
              if (id.indexOf(BATCH_MARK) >= 0) {
                JobRecord.PlacementBatch batch = read(id, value, JobRecord.PlacementBatch.class);
                require(batch.attempt() > 0 && batch.namePrefix() != null, id);
                require(batch.nameSuffixes() != null && batch.runData() != null, id);
                add(Kind.PLACEMENTS);
              } else {
                require(read(id, value, JobRecord.CompletedTasks.class).completed() != null, id);
                add(Kind.DONE_TASKS);
              }
            });
  }

  private void machines(String key, String shard, ScaleOutRecord record) {
    require(record.type() != null && record.zone() != null, key);
    if (record.unanswered()) {
      add(Kind.OPEN_RENTAL);
      return;
    }
    add(record.fence() == null ? Kind.RENTAL : Kind.TRANSFER);
    record.machines().forEach(m -> shardsOf.computeIfAbsent(m, n -> new HashSet<>()).add(shard));
  }

  private void zone(String key, ZoneRecord record) {
    require(record.state() != null && record.stateSinceWallMs() > 0, key);
    counts.merge(Kind.DISPLACED_JOBS, record.displacedUids().size(), Integer::sum);
    addIf(record.state().label().equals("unreachable"), Kind.UNREACHABLE_ZONE);
  }

  private void task(JsonNode task) {
    switch (task.get("status").asText()) {
      case "pulling" -> add(Kind.STARTING_TASK);
      case "running" -> add(Kind.RUNNING_TASK);
      default -> add(Kind.EXITED_TASK);
    }
  }

  private void addIf(boolean counts, Kind kind) {
    if (counts) {
      add(kind);
    }
  }

  private void add(Kind kind) {
    counts.merge(kind, 1, Integer::sum);
  }

  private static void require(boolean holds, String what) {
    if (!holds) {
      throw new AssertionError("unreadable: " + what);
    }
  }
}
