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

/**
 * Counts the records of a saved cluster by kind and checks that deserializing and serializing a
 * record does not change it.
 */
final class StoredDay {
  /** The test is conclusive only if the saved cluster holds at least one item of each kind. */
  enum Kind {
    LIVE_JOB,
    CANCELLED_LIVE_JOB,
    JOB_WITH_MACHINE_TYPES,
    JOB_WITH_ZONE,
    JOB_WITH_DUE_TIME,
    COMPLETED_JOB,
    CANCELLED_AND_ENDED_JOB,
    PAGE,
    COMPLETED_TASKS,
    PLACEMENT_BATCH,
    UNANSWERED_SCALE_OUT,
    ANSWERED_SCALE_OUT,
    TRANSFER,
    MACHINE_RECORDED_IN_SEVERAL_SHARDS,
    UNREACHABLE_ZONE,
    DISPLACED_JOBS,
    SHARD_CLAIM,
    LEASE,
    STARTING_TASK,
    RUNNING_TASK,
    EXITED_TASK
  }

  private static final char PLACEMENT_BATCH_SEPARATOR = ':';

  private final Map<Kind, Integer> counts = new EnumMap<>(Kind.class);

  /** For each machine, the shards that have a record with the machine's name. */
  private final Map<String, Set<String>> shardsByMachine = new HashMap<>();

  private StoredDay() {
    for (Kind kind : Kind.values()) {
      counts.put(kind, 0);
    }
  }

  /**
   * Counts the items of each kind.
   *
   * @throws AssertionError if a record is of an unknown kind, is incomplete, or changes when it is
   *     deserialized and serialized
   */
  static Map<Kind, Integer> count(JsonNode saved) {
    StoredDay recordCounts = new StoredDay();
    for (JsonNode entry : saved.get("store").get("keys")) {
      recordCounts.countRecord(entry.get("key").asText(), entry.get("value"));
    }
    recordCounts.counts.put(Kind.LEASE, saved.get("store").get("leases").size());
    recordCounts.counts.put(
        Kind.MACHINE_RECORDED_IN_SEVERAL_SHARDS,
        (int)
            recordCounts.shardsByMachine.values().stream()
                .filter(shards -> shards.size() > 1)
                .count());
    for (JsonNode machine : saved.get("machines")) {
      machine.get("tasks").forEach(recordCounts::countTask);
    }
    return recordCounts.counts;
  }

  private void countRecord(String key, JsonNode value) {
    String[] path = key.split("/", -1);
    String family = path[0] + (path.length > 2 ? "/" + path[1] : "");
    switch (family) {
      case "w/j" -> countLiveJob(key, readUnchanged(key, value, JobRecord.Live.class));
      case "a" -> countEndedJob(key, readUnchanged(key, value, JobRecord.Ended.class));
      case "w/p" -> countPage(key, readUnchanged(key, value, PageRecord.class));
      case "w/h" ->
          countMachineRecord(key, path[2], readUnchanged(key, value, ScaleOutRecord.class));
      case "w/z" -> countZone(key, readUnchanged(key, value, ZoneRecord.class));
      case "w/c" -> {
        require(value.path("owner").isTextual(), key);
        increment(Kind.SHARD_CLAIM);
      }
      default -> throw new AssertionError("unknown kind of record, key " + key);
    }
  }

  /** Deserializes the value and checks that serializing the result gives the same JSON. */
  private static <T> T readUnchanged(String key, JsonNode value, Class<T> type) {
    T record = Json.read(value, type);
    require(record != null, key);
    String rewritten = new String(Json.write(record), StandardCharsets.UTF_8);
    require(
        rewritten.equals(value.toString()),
        key + " with value " + value + ", serialized as " + rewritten);
    return record;
  }

  private void countLiveJob(String key, JobRecord.Live record) {
    require(record.spec() != null && key.endsWith("/" + record.spec().uid()), key);
    require(record.spec().tasks() > 0 && record.submittedWallMs() > 0, key);
    require(record.spec().team() != null && record.spec().urgency() != null, key);
    increment(record.cancelled() ? Kind.CANCELLED_LIVE_JOB : Kind.LIVE_JOB);
    incrementIf(record.spec().types() != null, Kind.JOB_WITH_MACHINE_TYPES);
    incrementIf(record.spec().zone() != null, Kind.JOB_WITH_ZONE);
    incrementIf(record.spec().dueSeconds() != null, Kind.JOB_WITH_DUE_TIME);
  }

  private void countEndedJob(String key, JobRecord.Ended record) {
    switch (record.status()) {
      case "done" -> increment(Kind.COMPLETED_JOB);
      case "aborted" -> increment(Kind.CANCELLED_AND_ENDED_JOB);
      default -> throw new AssertionError(key);
    }
  }

  private void countPage(String key, PageRecord page) {
    increment(Kind.PAGE);
    require(page.entries() != null, key);
    page.entries()
        .forEach(
            (id, value) -> {
              if (id.indexOf(PLACEMENT_BATCH_SEPARATOR) >= 0) {
                JobRecord.PlacementBatch batch =
                    readUnchanged(id, value, JobRecord.PlacementBatch.class);
                require(batch.attempt() > 0 && batch.namePrefix() != null, id);
                require(batch.nameSuffixes() != null && batch.runData() != null, id);
                increment(Kind.PLACEMENT_BATCH);
              } else {
                require(
                    readUnchanged(id, value, JobRecord.CompletedTasks.class).completed() != null,
                    id);
                increment(Kind.COMPLETED_TASKS);
              }
            });
  }

  private void countMachineRecord(String key, String shard, ScaleOutRecord record) {
    require(record.type() != null && record.zone() != null, key);
    if (record.unanswered()) {
      increment(Kind.UNANSWERED_SCALE_OUT);
      return;
    }
    increment(record.fence() == null ? Kind.ANSWERED_SCALE_OUT : Kind.TRANSFER);
    record
        .machines()
        .forEach(m -> shardsByMachine.computeIfAbsent(m, n -> new HashSet<>()).add(shard));
  }

  private void countZone(String key, ZoneRecord record) {
    require(record.state() != null && record.stateSinceWallMs() > 0, key);
    counts.merge(Kind.DISPLACED_JOBS, record.displacedUids().size(), Integer::sum);
    incrementIf(record.state().label().equals("unreachable"), Kind.UNREACHABLE_ZONE);
  }

  private void countTask(JsonNode task) {
    switch (task.get("status").asText()) {
      case "pulling" -> increment(Kind.STARTING_TASK);
      case "running" -> increment(Kind.RUNNING_TASK);
      default -> increment(Kind.EXITED_TASK);
    }
  }

  private void incrementIf(boolean condition, Kind kind) {
    if (condition) {
      increment(kind);
    }
  }

  private void increment(Kind kind) {
    counts.merge(kind, 1, Integer::sum);
  }

  private static void require(boolean condition, String description) {
    if (!condition) {
      throw new AssertionError("record is incomplete or not serialized as stored: " + description);
    }
  }
}
