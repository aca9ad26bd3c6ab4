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
 * Shows whether two versions of the sources behave alike: plays days of the simulated cluster with
 * every trouble that the tests know, and prints for each a digest of all that the controllers send
 * (see {@link TraceDigest}), then how many messages of each kind that were. Equal lines: equal
 * bytes, order and virtual time of all messages. It compares versions and asserts nothing; CI
 * doesn't run it. Run by hand, from the root:
 *
 * <pre>
 * mvn -q -o -B test-compile
 * mvn -q -o -B dependency:build-classpath -Dmdep.outputFile=target/test.classpath
 * java -cp target/test-classes:target/classes:$(cat target/test.classpath) \
 *   dev.windbend.daemon.BehaviourTrace &gt; digests.txt
 * </pre>
 *
 * <p>Options: {@code --seeds N} plays each day with seeds 1 to N (1 if not given), {@code --threads
 * N} at once (4 if not given), {@code --dump FILE DAY SEED} writes the messages of one day, by its
 * name in the first column, as text to compare with another version's.
 */
final class BehaviourTrace {
  private static final long DAY_MS = 240_000;
  private static final long LONG_DAY_MS = 360_000;
  private static final long CALM_FROM_MS = 150_000;
  private static final long GAP_FROM_MS = 30_000;
  private static final long VISIT_MS = 20_000;
  private static final long HEALTH_CHECK_MS = 700;
  private static final long VISIT_LIMIT_MS = 2_000;
  private static final int JOBS = 30;
  private static final long JOBS_SPAN_MS = 90_000;
  private static final int DEFAULT_SEEDS = 1;
  private static final int DEFAULT_THREADS = 4;
  private static final long SEED_STEP = 7_919;

  /**
   * @param name table of the tests and place in it: rewording a test's name changes no digest
   * @param number place among all days
   * @param cluster a cluster of a seed, not begun
   * @param play begins it, plays the troubles and runs the day
   */
  private record Day(
      String name,
      int number,
      LongFunction<SimulatedCluster> cluster,
      Consumer<SimulatedCluster> play) {}

  private record Result(String line, Map<String, Integer> counts) {}

  private BehaviourTrace() {}

  public static void main(String[] arguments)
      throws IOException, InterruptedException, ExecutionException {
    // Before any logger is made.
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "off");
    List<String> options = Arrays.asList(arguments);
    int dump = options.indexOf("--dump");
    if (dump >= 0) {
      long seed = Long.parseLong(options.get(dump + 3));
      dump(Path.of(options.get(dump + 1)), options.get(dump + 2), seed);
    } else {
      int seeds = number(options, "--seeds", DEFAULT_SEEDS);
      printAll(seeds, number(options, "--threads", DEFAULT_THREADS));
    }
  }

  private static int number(List<String> options, String name, int usual) {
    int at = options.indexOf(name);
    return at < 0 ? usual : Integer.parseInt(options.get(at + 1));
  }

  private static void dump(Path file, String name, long seed) throws IOException {
    Day day = days().stream().filter(d -> d.name().equals(name)).findFirst().orElseThrow();
    try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8))) {
      System.out.println(play(day, seed, out).line());
    }
  }

  /** Days may be played at the same time: each is a cluster of its own, in one thread. */
  private static void printAll(int seeds, int threads)
      throws InterruptedException, ExecutionException {
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    List<Future<Result>> results = new ArrayList<>();
    for (Day day : days()) {
      for (long seed = 1; seed <= seeds; seed++) {
        long thisSeed = seed;
        results.add(pool.submit(() -> play(day, thisSeed, null)));
      }
    }
    pool.shutdown();
    Map<String, Integer> counts = new TreeMap<>();
    for (Future<Result> result : results) {
      System.out.println(result.get().line());
      result.get().counts().forEach((kind, n) -> counts.merge(kind, n, Integer::sum));
    }
    counts.forEach((kind, n) -> System.out.printf("%9d %s%n", n, kind));
  }

  private static Result play(Day day, long seed, PrintWriter dump) {
    SimulatedCluster cluster = day.cluster().apply(seed * SEED_STEP + day.number());
    TraceDigest digest = new TraceDigest(cluster.time::nowMs, dump);
    cluster.recorder = digest;
    cluster.time.schedule(VISIT_MS, () -> visit(cluster));
    cluster.time.schedule(HEALTH_CHECK_MS, () -> checkHealth(cluster));
    String end = "";
    try {
      day.play().accept(cluster);
    } catch (AssertionError e) {
      // A check within a table of troubles; the tests judge it with their own seeds.
      end = " ended at " + cluster.time.nowMs() + " ms by a check";
    }
    String line =
        "%-14s seed %d %s %6d messages%s"
            .formatted(day.name(), seed, digest.hex(), digest.messages(), end);
    return new Result(line, digest.counts());
  }

  // ---- days

  private static List<Day> days() {
    List<Day> all = new ArrayList<>();
    addDays(all, "rules", InvariantsTest.scenarios(), DAY_MS, SimulatedCluster::new);
    addDays(
        all,
        "meetings",
        ConcurrentFaultsTest.concurrentFaults(),
        LONG_DAY_MS,
        SimulatedCluster::new);
    addDays(all, "zones", ZoneLossTest.scenarios(), LONG_DAY_MS, ZoneLossTest::newCluster);
    addGaps(all);
    return all;
  }

  private static void addDays(
      List<Day> all,
      String table,
      Stream<Arguments> rows,
      long dayMs,
      LongFunction<SimulatedCluster> cluster) {
    for (Arguments row : rows.toList()) {
      @SuppressWarnings("unchecked")
      Consumer<SimulatedCluster> faults = (Consumer<SimulatedCluster>) faults(row);
      all.add(
          new Day(
              name(all, table),
              all.size(),
              cluster,
              c -> {
                c.invariantChecker.faultsEndMs = CALM_FROM_MS;
                faults.accept(c);
                c.start(JOBS, JOBS_SPAN_MS);
                c.time.runUntil(dayMs);
              }));
    }
  }

  /** Cancellations that meet an outage; long tasks, and an owner chosen in the middle. */
  private static void addGaps(List<Day> all) {
    for (Arguments row : ConcurrentFaultsTest.faultSequences().toList()) {
      @SuppressWarnings("unchecked")
      BiConsumer<SimulatedCluster, String> faults =
          (BiConsumer<SimulatedCluster, String>) faults(row);
      all.add(
          new Day(
              name(all, "gaps"),
              all.size(),
              SimulatedCluster::new,
              c -> {
                c.additionalRunMs = 150_000;
                c.earliestCancellationMs = LONG_DAY_MS;
                c.cloudCapacity = 60;
                c.start(JOBS, 15_000);
                c.time.runUntil(GAP_FROM_MS);
                faults.accept(c, c.leaderOf(0));
                c.time.runUntil(LONG_DAY_MS);
              }));
    }
  }

  private static String name(List<Day> all, String table) {
    return table + "-" + (1 + all.stream().filter(d -> d.name().startsWith(table)).count());
  }

  /** The faults of a row are in its last column. */
  private static Object faults(Arguments row) {
    Object[] columns = row.get();
    return columns[columns.length - 1];
  }

  // ---- visits

  /** Often enough to see the moment at which a controller's answer changes. */
  private static void checkHealth(SimulatedCluster c) {
    for (int n = 0; n < c.controllerCount; n++) {
      ask(c, "n" + n + ":80", "GET", "/up", null);
    }
    c.time.schedule(HEALTH_CHECK_MS, () -> checkHealth(c));
  }

  /** What the days' users, workers and peers never ask: metrics, zones, faulty requests. */
  private static void visit(SimulatedCluster c) {
    for (int n = 0; n < c.controllerCount; n++) {
      String node = "n" + n;
      for (String path : List.of("/v1/jobs/wk-999998", "/v1/unknown", "/v1/jobs")) {
        ask(c, node + ":80", "GET", path, null);
      }
      for (String path : List.of("/metrics", "/zones", "/unknown")) {
        ask(c, node + ":81", "GET", path, null);
      }
      ask(c, node + ":80", "POST", "/hello", "{}");
      ask(c, node + ":80", "GET", "/hello", null);
      ask(c, node + ":80", "POST", "/v1/jobs", "{\"uid\":");
      ask(c, node + ":80", "POST", "/v1/jobs", job("nobody", 1, 0));
      ask(c, node + ":80", "POST", "/v1/jobs", job("red", 1_000, 0));
      ask(c, node + ":80", "POST", "/v1/jobs", job("guests", 1, 5));
      ask(c, node + ":80", "POST", "/v1/jobs/wk-999998/cancel", "");
    }
    c.time.schedule(VISIT_MS, () -> visit(c));
  }

  /** A job that can't be accepted. */
  private static String job(String team, int cores, int gpus) {
    return ("{\"uid\":\"wk-999997\",\"fleet\":\"f\",\"crew\":\"%s\",\"shape\":\"batch\","
            + "\"urgency\":\"standard\",\"drops\":1,\"cores\":%d.0,\"cards\":%d.0,\"ram_gb\":1.0,"
            + "\"load\":\"img\",\"pull_gb\":0.1,\"yard\":null,\"together\":false,"
            + "\"spread\":false,\"standby\":false,\"due_s\":null,\"haul_s\":6.0,"
            + "\"waypoint_s\":0.0,\"stow_s\":0.0}")
        .formatted(team, cores, gpus);
  }

  private static void ask(
      SimulatedCluster c, String address, String method, String path, String body) {
    byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
    c.sendRequest("visitor", address, method, path, bytes, VISIT_LIMIT_MS, r -> {});
  }
}
