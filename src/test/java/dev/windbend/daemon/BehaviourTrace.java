package dev.windbend.daemon;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.stream.Stream;
import org.junit.jupiter.params.provider.Arguments;

/**
 * Compares the behaviour of two versions of the sources. Runs the simulated cluster through the
 * fault scenarios of the tests and prints for each scenario a digest of all messages that the
 * controllers send (see {@link TraceDigest}), and at the end the total number of messages of each
 * kind. Equal lines mean that the bytes, the order and the virtual times of all messages are equal.
 * The program asserts nothing and is not run by CI. Run it by hand from the repository root:
 *
 * <pre>
 * mvn -q -o -B test-compile
 * mvn -q -o -B dependency:build-classpath -Dmdep.outputFile=target/test.classpath
 * java -cp target/test-classes:target/classes:$(cat target/test.classpath) \
 *   dev.windbend.daemon.BehaviourTrace &gt; digests.txt
 * </pre>
 *
 * <p>Options: {@code --seeds N} runs each scenario with the seeds 1 to N (default 1). {@code
 * --threads N} runs N scenarios concurrently (default 4). {@code --dump FILE SCENARIO SEED} runs
 * one scenario, given by its name in the first column, and writes its messages as text to the file,
 * for comparison with the file of another version.
 */
final class BehaviourTrace {
  private static final long SCENARIO_MS = 240_000;
  private static final long LONG_SCENARIO_MS = 360_000;
  private static final long FAULTS_END_MS = 150_000;
  private static final long FAULT_SEQUENCE_START_MS = 30_000;
  private static final long EXTRA_REQUESTS_INTERVAL_MS = 20_000;
  private static final long HEALTH_CHECK_INTERVAL_MS = 700;
  private static final long EXTRA_REQUEST_TIMEOUT_MS = 2_000;
  private static final int JOB_COUNT = 30;
  private static final long JOB_SUBMISSION_PERIOD_MS = 90_000;
  private static final int DEFAULT_SEEDS = 1;
  private static final int DEFAULT_THREADS = 4;
  private static final long SEED_STEP = 7_919;

  /**
   * @param name name of the test table and the row number in it; independent of the row's
   *     description, so that rewording the description changes no line of the output
   * @param index position in the list of all scenarios; part of the seed
   * @param newCluster creates a cluster from a seed, without starting it
   * @param run starts the cluster, injects the faults and runs the cluster to the end
   */
  private record Scenario(
      String name,
      int index,
      LongFunction<SimulatedCluster> newCluster,
      Consumer<SimulatedCluster> run) {}

  private record Result(String outputLine, Map<String, Integer> messageCounts) {}

  private BehaviourTrace() {}

  public static void main(String[] arguments)
      throws IOException, InterruptedException, ExecutionException {
    // Has to be set before the first logger is created.
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "off");
    List<String> options = Arrays.asList(arguments);
    int dumpIndex = options.indexOf("--dump");
    if (dumpIndex >= 0) {
      long seed = Long.parseLong(options.get(dumpIndex + 3));
      dump(Path.of(options.get(dumpIndex + 1)), options.get(dumpIndex + 2), seed);
    } else {
      int seeds = intOption(options, "--seeds", DEFAULT_SEEDS);
      printAll(seeds, intOption(options, "--threads", DEFAULT_THREADS));
    }
  }

  private static int intOption(List<String> options, String name, int defaultValue) {
    int index = options.indexOf(name);
    return index < 0 ? defaultValue : Integer.parseInt(options.get(index + 1));
  }

  private static void dump(Path file, String name, long seed) throws IOException {
    Scenario scenario =
        scenarios().stream().filter(s -> s.name().equals(name)).findFirst().orElseThrow();
    try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8))) {
      System.out.println(run(scenario, seed, out).outputLine());
    }
  }

  /** Scenarios can run concurrently because each has its own cluster, used by one thread only. */
  private static void printAll(int seeds, int threads)
      throws InterruptedException, ExecutionException {
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    List<Future<Result>> results = new ArrayList<>();
    for (Scenario scenario : scenarios()) {
      for (long seed = 1; seed <= seeds; seed++) {
        long scenarioSeed = seed;
        results.add(pool.submit(() -> run(scenario, scenarioSeed, null)));
      }
    }
    pool.shutdown();
    Map<String, Integer> counts = new TreeMap<>();
    for (Future<Result> result : results) {
      System.out.println(result.get().outputLine());
      result.get().messageCounts().forEach((kind, n) -> counts.merge(kind, n, Integer::sum));
    }
    counts.forEach((kind, n) -> System.out.printf("%9d %s%n", n, kind));
  }

  private static Result run(Scenario scenario, long seed, PrintWriter dump) {
    SimulatedCluster cluster = scenario.newCluster().apply(seed * SEED_STEP + scenario.index());
    TraceDigest digest = new TraceDigest(cluster.time::nowMs, dump);
    cluster.recorder = digest;
    cluster.time.schedule(EXTRA_REQUESTS_INTERVAL_MS, () -> sendExtraRequestsPeriodically(cluster));
    cluster.time.schedule(HEALTH_CHECK_INTERVAL_MS, () -> checkHealthPeriodically(cluster));
    String endNote = "";
    try {
      scenario.run().accept(cluster);
    } catch (AssertionError e) {
      // An assertion made while injecting faults failed with this seed. The scenario ends here;
      // the tests check such assertions with their own seeds.
      endNote = " ended at " + cluster.time.nowMs() + " ms by a check";
    }
    String line =
        "%-14s seed %d %s %6d messages%s"
            .formatted(scenario.name(), seed, digest.finishHex(), digest.messageCount(), endNote);
    return new Result(line, digest.messageCounts());
  }

  // ---- scenarios

  private static List<Scenario> scenarios() {
    List<Scenario> scenarios = new ArrayList<>();
    addScenarios(
        scenarios, "rules", InvariantsTest.scenarios(), SCENARIO_MS, SimulatedCluster::new);
    addScenarios(
        scenarios,
        "meetings",
        ConcurrentFaultsTest.concurrentFaults(),
        LONG_SCENARIO_MS,
        SimulatedCluster::new);
    addScenarios(
        scenarios, "zones", ZoneLossTest.scenarios(), LONG_SCENARIO_MS, ZoneLossTest::newCluster);
    addFaultSequences(scenarios);
    return scenarios;
  }

  private static void addScenarios(
      List<Scenario> scenarios,
      String table,
      Stream<Arguments> rows,
      long durationMs,
      LongFunction<SimulatedCluster> newCluster) {
    for (Arguments row : rows.toList()) {
      @SuppressWarnings("unchecked")
      Consumer<SimulatedCluster> faults = (Consumer<SimulatedCluster>) faults(row);
      scenarios.add(
          new Scenario(
              nextName(scenarios, table),
              scenarios.size(),
              newCluster,
              cluster -> {
                cluster.invariantChecker.faultsEndMs = FAULTS_END_MS;
                faults.accept(cluster);
                cluster.start(JOB_COUNT, JOB_SUBMISSION_PERIOD_MS);
                cluster.time.runUntil(durationMs);
              }));
    }
  }

  /**
   * Adds the scenarios in which cancellations coincide with an outage. Tasks run for a long time,
   * and the faults affect the controller that leads shard 0 when the faults begin.
   */
  private static void addFaultSequences(List<Scenario> scenarios) {
    for (Arguments row : ConcurrentFaultsTest.faultSequences().toList()) {
      @SuppressWarnings("unchecked")
      BiConsumer<SimulatedCluster, String> faults =
          (BiConsumer<SimulatedCluster, String>) faults(row);
      scenarios.add(
          new Scenario(
              nextName(scenarios, "gaps"),
              scenarios.size(),
              SimulatedCluster::new,
              cluster -> {
                cluster.additionalRunMs = 150_000;
                cluster.earliestCancellationMs = LONG_SCENARIO_MS;
                cluster.cloudCapacity = 60;
                cluster.start(JOB_COUNT, 15_000);
                cluster.time.runUntil(FAULT_SEQUENCE_START_MS);
                faults.accept(cluster, cluster.leaderOf(0));
                cluster.time.runUntil(LONG_SCENARIO_MS);
              }));
    }
  }

  private static String nextName(List<Scenario> scenarios, String table) {
    return table + "-" + (1 + scenarios.stream().filter(s -> s.name().startsWith(table)).count());
  }

  /** Returns the last column of the row, which injects the faults. */
  private static Object faults(Arguments row) {
    Object[] columns = row.get();
    return columns[columns.length - 1];
  }

  // ---- additional requests

  /** Requests {@code /up} often enough to show when a controller's response changes. */
  private static void checkHealthPeriodically(SimulatedCluster cluster) {
    for (int n = 0; n < cluster.controllerCount; n++) {
      send(cluster, "n" + n + ":80", "GET", "/up", null);
    }
    cluster.time.schedule(HEALTH_CHECK_INTERVAL_MS, () -> checkHealthPeriodically(cluster));
  }

  /**
   * Sends the requests that the users, workers and peers of a scenario never send: for metrics and
   * zones, and invalid ones.
   */
  private static void sendExtraRequestsPeriodically(SimulatedCluster cluster) {
    for (int index = 0; index < cluster.controllerCount; index++) {
      String controller = "n" + index;
      for (String path : List.of("/v1/jobs/wk-999998", "/v1/unknown", "/v1/jobs")) {
        send(cluster, controller + ":80", "GET", path, null);
      }
      for (String path : List.of("/metrics", "/zones", "/unknown")) {
        send(cluster, controller + ":81", "GET", path, null);
      }
      send(cluster, controller + ":80", "POST", "/hello", "{}");
      send(cluster, controller + ":80", "GET", "/hello", null);
      send(cluster, controller + ":80", "POST", "/v1/jobs", "{\"uid\":");
      send(cluster, controller + ":80", "POST", "/v1/jobs", invalidJob("nobody", 1, 0));
      send(cluster, controller + ":80", "POST", "/v1/jobs", invalidJob("red", 1_000, 0));
      send(cluster, controller + ":80", "POST", "/v1/jobs", invalidJob("guests", 1, 5));
      send(cluster, controller + ":80", "POST", "/v1/jobs/wk-999998/cancel", "");
    }
    cluster.time.schedule(EXTRA_REQUESTS_INTERVAL_MS, () -> sendExtraRequestsPeriodically(cluster));
  }

  /** A submission that the controllers reject. */
  private static String invalidJob(String team, int cores, int gpus) {
    return ("{\"uid\":\"wk-999997\",\"fleet\":\"f\",\"crew\":\"%s\",\"shape\":\"batch\","
            + "\"urgency\":\"standard\",\"drops\":1,\"cores\":%d.0,\"cards\":%d.0,\"ram_gb\":1.0,"
            + "\"load\":\"img\",\"pull_gb\":0.1,\"yard\":null,\"together\":false,"
            + "\"spread\":false,\"standby\":false,\"due_s\":null,\"haul_s\":6.0,"
            + "\"waypoint_s\":0.0,\"stow_s\":0.0}")
        .formatted(team, cores, gpus);
  }

  private static void send(
      SimulatedCluster cluster, String address, String method, String path, String body) {
    byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
    cluster.sendRequest("visitor", address, method, path, bytes, EXTRA_REQUEST_TIMEOUT_MS, r -> {});
  }
}
