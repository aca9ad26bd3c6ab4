package dev.windbend.daemon;

import dev.windbend.shard.Policy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Measures in virtual time how long after the loss of a zone its tasks run again or are completed,
 * by priority, with zone handling on and off. Not a test: run by hand as docs/zones.md describes.
 */
final class ZoneLossMeasurement {
  private static final long LOSS_MS = 40_000;
  private static final long POLL_INTERVAL_MS = 500;
  private static final long END_MS = 600_000;
  private static final int HISTOGRAM_DIGITS = 2;
  private static final int SEEDS = 20;

  private record Scenario(String name, long lossDurationMs, int losses, long intervalMs) {}

  private static final List<Scenario> SCENARIOS =
      List.of(
          new Scenario("zone lost for five minutes", 300_000, 1, 0),
          new Scenario("zone lost for ten seconds", 10_000, 1, 0),
          new Scenario("zone lost three times within ten minutes", 40_000, 3, 150_000));

  private final Map<String, Histogram> recoveryMsByCategory = new TreeMap<>();
  private int violations;
  private int expiredLeases;
  private long storeChanges;

  private ZoneLossMeasurement() {}

  public static void main(String[] arguments) throws InvalidSettingsException {
    Policy enabled = OperatorSettings.parse(ZoneLossTest.SETTINGS, List.of("a", "b"));
    for (Scenario scenario : SCENARIOS) {
      print(scenario, "off", OperatorSettings.defaults());
      print(scenario, "on", enabled);
    }
  }

  private static void print(Scenario scenario, String zoneHandling, Policy policy) {
    ZoneLossMeasurement measurement = new ZoneLossMeasurement();
    for (long seed = 1; seed <= SEEDS; seed++) {
      measurement.run(scenario, seed, policy);
    }
    System.out.printf(
        "%s, zone handling %s: violations %d, leases expired with tasks %d, changes %d%n",
        scenario.name(),
        zoneHandling,
        measurement.violations,
        measurement.expiredLeases,
        measurement.storeChanges);
    measurement.recoveryMsByCategory.forEach(
        (category, histogram) ->
            System.out.printf(
                "  %s: %d tasks, recovered after p50 %.1f s, p90 %.1f s, max %.1f s%n",
                category,
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50) / 1_000.0,
                histogram.getValueAtPercentile(90) / 1_000.0,
                histogram.getMaxValue() / 1_000.0));
  }

  private void run(Scenario scenario, long seed, Policy policy) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.policy = policy;
    cluster.additionalRunMs = 12_000;
    cluster.start(30, 60_000);
    for (int loss = 0; loss < scenario.losses(); loss++) {
      long fromMs = LOSS_MS + loss * scenario.intervalMs();
      ZoneLossTest.loseZone(cluster, fromMs, scenario.lossDurationMs());
      cluster.time.schedule(
          fromMs, () -> recordRecoveries(cluster, fromMs, tasksInLostZone(cluster)));
    }
    cluster.time.runUntil(END_MS);
    violations += cluster.invariantChecker.violations.size();
    expiredLeases += cluster.expiredLeasesWithTasks;
    storeChanges += cluster.stateService.revision();
  }

  private static List<String> tasksInLostZone(SimulatedCluster cluster) {
    List<String> tasks = new ArrayList<>();
    cluster.machines.values().stream()
        .filter(worker -> worker.zone.equals(ZoneLossTest.ZONE))
        .forEach(worker -> tasks.addAll(worker.runningTasks()));
    return tasks;
  }

  /** Polls the tasks until each runs in another zone, is completed or has been cancelled. */
  private void recordRecoveries(SimulatedCluster cluster, long lossMs, List<String> tasks) {
    List<String> remaining = new ArrayList<>();
    for (String task : tasks) {
      SimulatedUser user = cluster.users.get(InvariantChecker.jobId(task));
      if (cluster.invariantChecker.isCompleted(task) || runsInOtherZone(cluster, task)) {
        recoveryMsByCategory
            .computeIfAbsent(category(user), unused -> new Histogram(END_MS, HISTOGRAM_DIGITS))
            .recordValue(cluster.time.nowMs() - lossMs);
      } else if (user.cancellationConfirmedMs < 0) {
        remaining.add(task);
      }
    }
    if (!remaining.isEmpty()) {
      cluster.time.schedule(POLL_INTERVAL_MS, () -> recordRecoveries(cluster, lossMs, remaining));
    }
  }

  private static String category(SimulatedUser user) {
    return (user.taskCount % 4 == 0 ? "urgent" : "standard")
        + (user.zone == null ? "" : ", bound to the zone");
  }

  private static boolean runsInOtherZone(SimulatedCluster cluster, String task) {
    return cluster.machines.values().stream()
        .anyMatch(
            worker ->
                !worker.zone.equals(ZoneLossTest.ZONE) && worker.runningTasks().contains(task));
  }
}
