package dev.windbend.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Controllers start on a state service filled by an earlier release, with a zone lost and all kinds
 * of records on it, while the machines run what they ran. {@link StoredDataWriter} wrote the file.
 */
class StoredDataTest {
  private static final String FILE = "/dev/windbend/stored-day.json";
  private static final long DAY_MS = 900_000;

  /** The dead controllers' leases have ended, and their successors have taken over by then. */
  private static final long TAKEN_OVER_MS = 30_000;

  /** All machines have had an answer, or are found to be gone. */
  private static final long KNOWN_MS = 60_000;

  private static JsonNode saved;

  @BeforeAll
  static void read() throws IOException {
    try (InputStream in = StoredDataTest.class.getResourceAsStream(FILE)) {
      saved = FakeStateService.JSON.readTree(in);
    }
  }

  @Test
  void everyRecordIsReadAndWrittenBackUnchanged() {
    assertThat(StoredDay.count(saved)).doesNotContainValue(0);
  }

  @Test
  void controllersGoOnFromTheStoredRecords() {
    for (long seed = 1; seed <= 3; seed++) {
      goOn(seed);
    }
  }

  private static void goOn(long seed) {
    SimulatedCluster w = StoredDataWriter.cluster(seed);
    w.lossProbability = 0;
    w.delayProbability = 0;
    w.load(saved);
    w.invariantChecker.faultsEndMs = w.time.nowMs() + 2 * KNOWN_MS;
    long fromMs = w.time.nowMs();
    Map<String, Long> tokens = new TreeMap<>();
    w.machines.values().forEach(m -> tokens.put(m.name, m.fencingToken()));
    List<FakeWorker> machines = List.copyOf(w.machines.values());
    Set<String> live = keysBelow("w/j/");
    assertThat(w.users)
        .as("a user for each job on record")
        .containsKeys(live.toArray(String[]::new));
    assertThat(w.users).containsKeys(keysBelow("a/").toArray(String[]::new));
    assertThat(w.unfinishedJobs()).as("unfinished at first, seed %d", seed).isNotEmpty();
    for (int node = 0; node < w.controllerCount; node++) {
      w.startController(node);
    }
    w.time.runUntil(fromMs + TAKEN_OVER_MS);
    for (int shard = 0; shard < w.controllerCount; shard++) {
      assertThat(w.leaderOf(shard)).as("owner of shard %d, seed %d", shard, seed).matches("n[0-2]");
    }
    Map<String, String> statuses = ask(w, live);
    assertThat(statuses.keySet()).as("live jobs known, seed %d", seed).isEqualTo(live);
    assertThat(statuses.values()).isSubsetOf("pending", "running", "done", "aborted");
    w.time.runUntil(fromMs + KNOWN_MS);
    List<String> unknown = new ArrayList<>();
    for (FakeWorker m : machines) {
      if (!m.terminated && m.fencingToken() <= tokens.get(m.name)) {
        unknown.add(m.name);
      }
    }
    assertThat(unknown).as("machines no controller commands, seed %d", seed).isEmpty();
    w.time.runUntil(fromMs + DAY_MS);
    assertThat(w.invariantChecker.violations).as("rules, seed %d", seed).isEmpty();
    assertThat(w.unfinishedJobs()).as("unfinished, seed %d", seed).isEmpty();
    assertThat(w.expiredLeasesWithTasks).as("leases ended with tasks, seed %d", seed).isZero();
    assertThat(w.stateService.countKeys("w/j/")).as("live jobs left, seed %d", seed).isZero();
    assertThat(w.stateService.countKeys("w/z/")).as("zones on record, seed %d", seed).isZero();
    assertThat(w.machines).as("machines left, seed %d", seed).isEmpty();
    assertStarts(w, seed);
    Set<String> ended = keysBelow("a/");
    Map<String, String> answers = ask(w, ended);
    assertThat(answers).as("ended jobs, seed %d", seed).isEqualTo(endedStatuses());
  }

  /** What ran goes on where it is, and nothing of a cancelled or ended job is started. */
  private static void assertStarts(SimulatedCluster w, long seed) {
    Set<String> over = keysBelow("a/");
    for (JsonNode k : saved.get("store").get("keys")) {
      if (k.get("value").path("cancelled").asBoolean()) {
        over.add(name(k));
      }
    }
    assertThat(w.invariantChecker.startedTasks)
        .as("starts of cancelled or ended jobs, seed %d", seed)
        .noneMatch(task -> over.contains(InvariantChecker.jobId(task)));
    Set<String> running = new TreeSet<>();
    for (JsonNode machine : saved.get("machines")) {
      for (JsonNode task : machine.get("tasks")) {
        if (task.get("status").asText().equals("running")) {
          running.add(task.get("task").asText());
        }
      }
    }
    assertThat(
            w.invariantChecker.startedTasks.stream()
                .filter(running::contains)
                .collect(Collectors.toSet()))
        .as("tasks that ran and were started again, seed %d", seed)
        .isEmpty();
  }

  private static String name(JsonNode key) {
    String path = key.get("key").asText();
    return path.substring(path.lastIndexOf('/') + 1);
  }

  private static Set<String> keysBelow(String prefix) {
    Set<String> all = new TreeSet<>();
    for (JsonNode k : saved.get("store").get("keys")) {
      if (k.get("key").asText().startsWith(prefix)) {
        all.add(name(k));
      }
    }
    return all;
  }

  private static Map<String, String> endedStatuses() {
    Map<String, String> all = new HashMap<>();
    for (JsonNode k : saved.get("store").get("keys")) {
      if (k.get("key").asText().startsWith("a/")) {
        all.put(name(k), k.get("value").get("s").asText());
      }
    }
    return all;
  }

  /** Asks every node about each job; all must agree. Jobs that are not found are left out. */
  private static Map<String, String> ask(SimulatedCluster w, Set<String> jobs) {
    Map<String, Set<String>> heard = new TreeMap<>();
    for (String job : jobs) {
      for (int node = 0; node < w.controllerCount; node++) {
        w.sendRequest(
            "users",
            "n" + node + ":80",
            "GET",
            "/v1/jobs/" + job,
            null,
            4_000,
            r -> {
              String status = w.parseJson(r.body()).path("status").asText();
              heard
                  .computeIfAbsent(job, j -> new TreeSet<>())
                  .add(r.status() == 200 ? status : "answer " + r.status());
            });
      }
    }
    w.time.runUntil(w.time.nowMs() + 5_000);
    Map<String, String> all = new TreeMap<>();
    heard.forEach((job, statuses) -> all.put(job, String.join(" and ", statuses)));
    return all;
  }
}
