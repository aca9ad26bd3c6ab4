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
 * Guards against changes that make controllers misread the records of an earlier release. The
 * controllers start with a state service that holds records of every kind, written while a zone was
 * lost, and the machines continue to run their tasks. {@link StoredDataWriter} wrote the file.
 */
class StoredDataTest {
  private static final String FILE = "/dev/windbend/stored-day.json";
  private static final long SCENARIO_MS = 900_000;

  /** Time by which the leases of the previous leaders have expired and every shard has a leader. */
  private static final long FAILOVER_DONE_MS = 30_000;

  /** Time by which each machine has received a response or is confirmed terminated. */
  private static final long MACHINES_RECOVERED_MS = 60_000;

  private static JsonNode saved;

  @BeforeAll
  static void read() throws IOException {
    try (InputStream in = StoredDataTest.class.getResourceAsStream(FILE)) {
      saved = FakeStateService.JSON.readTree(in);
    }
  }

  @Test
  void readsAndRewritesEveryStoredRecordUnchanged() {
    assertThat(StoredDay.count(saved)).doesNotContainValue(0);
  }

  @Test
  void completesStoredJobsWithoutRestartingRunningTasks() {
    for (long seed = 1; seed <= 3; seed++) {
      runFromStoredRecords(seed);
    }
  }

  private static void runFromStoredRecords(long seed) {
    SimulatedCluster cluster = StoredDataWriter.newCluster(seed);
    cluster.lossProbability = 0;
    cluster.delayProbability = 0;
    cluster.load(saved);
    cluster.invariantChecker.faultsEndMs = cluster.time.nowMs() + 2 * MACHINES_RECOVERED_MS;
    long fromMs = cluster.time.nowMs();
    Map<String, Long> initialTokens = new TreeMap<>();
    cluster.machines.values().forEach(m -> initialTokens.put(m.name, m.fencingToken()));
    List<FakeWorker> machines = List.copyOf(cluster.machines.values());
    Set<String> liveJobs = idsUnderPrefix("w/j/");
    assertThat(cluster.users)
        .as("users include one for each stored live job")
        .containsKeys(liveJobs.toArray(String[]::new));
    assertThat(cluster.users).containsKeys(idsUnderPrefix("a/").toArray(String[]::new));
    assertThat(cluster.unfinishedJobs())
        .as("unfinished jobs at the start, seed %d", seed)
        .isNotEmpty();
    for (int controller = 0; controller < cluster.controllerCount; controller++) {
      cluster.startController(controller);
    }
    cluster.time.runUntil(fromMs + FAILOVER_DONE_MS);
    for (int shard = 0; shard < cluster.controllerCount; shard++) {
      assertThat(cluster.leaderOf(shard))
          .as("leader of shard %d, seed %d", shard, seed)
          .matches("n[0-2]");
    }
    Map<String, String> statuses = queryStatuses(cluster, liveJobs);
    assertThat(statuses.keySet())
        .as("stored live jobs with a response, seed %d", seed)
        .isEqualTo(liveJobs);
    assertThat(statuses.values()).isSubsetOf("pending", "running", "done", "aborted");
    cluster.time.runUntil(fromMs + MACHINES_RECOVERED_MS);
    List<String> notCommanded = new ArrayList<>();
    for (FakeWorker machine : machines) {
      if (!machine.terminated && machine.fencingToken() <= initialTokens.get(machine.name)) {
        notCommanded.add(machine.name);
      }
    }
    assertThat(notCommanded)
        .as("running machines without commands from a new leader, seed %d", seed)
        .isEmpty();
    cluster.time.runUntil(fromMs + SCENARIO_MS);
    assertThat(cluster.invariantChecker.violations)
        .as("violated invariants, seed %d", seed)
        .isEmpty();
    assertThat(cluster.unfinishedJobs()).as("unfinished jobs at the end, seed %d", seed).isEmpty();
    assertThat(cluster.expiredLeasesWithTasks)
        .as("machine leases expired with tasks on the machine, seed %d", seed)
        .isZero();
    assertThat(cluster.stateService.countKeys("w/j/"))
        .as("stored live jobs at the end, seed %d", seed)
        .isZero();
    assertThat(cluster.stateService.countKeys("w/z/"))
        .as("stored zones at the end, seed %d", seed)
        .isZero();
    assertThat(cluster.machines).as("machines at the end, seed %d", seed).isEmpty();
    assertNoUnexpectedStarts(cluster, seed);
    Set<String> endedJobs = idsUnderPrefix("a/");
    Map<String, String> endedJobStatuses = queryStatuses(cluster, endedJobs);
    assertThat(endedJobStatuses)
        .as("statuses of the ended jobs, seed %d", seed)
        .isEqualTo(storedEndedStatuses());
  }

  /**
   * Asserts that neither tasks that were running when the cluster was saved nor tasks of cancelled
   * or ended jobs are started.
   */
  private static void assertNoUnexpectedStarts(SimulatedCluster cluster, long seed) {
    Set<String> cancelledOrEndedJobs = idsUnderPrefix("a/");
    for (JsonNode entry : saved.get("store").get("keys")) {
      if (entry.get("value").path("cancelled").asBoolean()) {
        cancelledOrEndedJobs.add(lastPathSegment(entry));
      }
    }
    assertThat(cluster.invariantChecker.startedTasks)
        .as("started tasks, none of a cancelled or ended job, seed %d", seed)
        .noneMatch(task -> cancelledOrEndedJobs.contains(InvariantChecker.jobId(task)));
    Set<String> running = new TreeSet<>();
    for (JsonNode machine : saved.get("machines")) {
      for (JsonNode task : machine.get("tasks")) {
        if (task.get("status").asText().equals("running")) {
          running.add(task.get("task").asText());
        }
      }
    }
    assertThat(
            cluster.invariantChecker.startedTasks.stream()
                .filter(running::contains)
                .collect(Collectors.toSet()))
        .as("running tasks that were started again, seed %d", seed)
        .isEmpty();
  }

  private static String lastPathSegment(JsonNode entry) {
    String path = entry.get("key").asText();
    return path.substring(path.lastIndexOf('/') + 1);
  }

  private static Set<String> idsUnderPrefix(String prefix) {
    Set<String> ids = new TreeSet<>();
    for (JsonNode entry : saved.get("store").get("keys")) {
      if (entry.get("key").asText().startsWith(prefix)) {
        ids.add(lastPathSegment(entry));
      }
    }
    return ids;
  }

  private static Map<String, String> storedEndedStatuses() {
    Map<String, String> statuses = new HashMap<>();
    for (JsonNode entry : saved.get("store").get("keys")) {
      if (entry.get("key").asText().startsWith("a/")) {
        statuses.put(lastPathSegment(entry), entry.get("value").get("s").asText());
      }
    }
    return statuses;
  }

  /**
   * Requests the status of each job from every controller. The result of a job lists the distinct
   * responses, joined by "and", so the caller's comparison fails if controllers disagree.
   */
  private static Map<String, String> queryStatuses(SimulatedCluster cluster, Set<String> jobs) {
    Map<String, Set<String>> statusesByJob = new TreeMap<>();
    for (String job : jobs) {
      for (int controller = 0; controller < cluster.controllerCount; controller++) {
        cluster.sendRequest(
            "users",
            "n" + controller + ":80",
            "GET",
            "/v1/jobs/" + job,
            null,
            4_000,
            response -> {
              String status = cluster.parseJson(response.body()).path("status").asText();
              statusesByJob
                  .computeIfAbsent(job, j -> new TreeSet<>())
                  .add(response.status() == 200 ? status : "answer " + response.status());
            });
      }
    }
    cluster.time.runUntil(cluster.time.nowMs() + 5_000);
    Map<String, String> joinedStatuses = new TreeMap<>();
    statusesByJob.forEach(
        (job, statuses) -> joinedStatuses.put(job, String.join(" and ", statuses)));
    return joinedStatuses;
  }
}
