package dev.windbend.daemon;

import dev.windbend.shard.Policy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Measures, in virtual time, how long after the loss of a zone its tasks run again or are done, by
 * priority, with zones looked after and without. Not a test: run by hand, as docs/zones.md says.
 */
final class ZoneLossMeasurement {
  private static final long LOST_MS = 40_000;
  private static final long STEP_MS = 500;
  private static final long END_MS = 600_000;
  private static final int DIGITS = 2;
  private static final int SEEDS = 20;

  private record Day(String name, long lostForMs, int times, long everyMs) {}

  private static final List<Day> DAYS =
      List.of(
          new Day("lost for five minutes", 300_000, 1, 0),
          new Day("lost for ten seconds", 10_000, 1, 0),
          new Day("three flaps in ten minutes", 40_000, 3, 150_000));

  private final Map<String, Histogram> afterMs = new TreeMap<>();
  private int violations;
  private int lapsed;
  private long changes;

  private ZoneLossMeasurement() {}

  public static void main(String[] arguments) throws InvalidSettingsException {
    Policy on = OperatorSettings.parse(ZoneLossTest.SETTINGS, List.of("a", "b"));
    for (Day day : DAYS) {
      print(day, "off", OperatorSettings.defaults());
      print(day, "on", on);
    }
  }

  private static void print(Day day, String part, Policy policy) {
    ZoneLossMeasurement all = new ZoneLossMeasurement();
    for (long seed = 1; seed <= SEEDS; seed++) {
      all.play(day, seed, policy);
    }
    System.out.printf(
        "%s, part %s: rules broken %d, leases ended with tasks %d, changes %d%n",
        day.name(), part, all.violations, all.lapsed, all.changes);
    all.afterMs.forEach(
        (urgency, h) ->
            System.out.printf(
                "  %s: %d tasks, run again or done after p50 %.1f s, p90 %.1f s, last %.1f s%n",
                urgency,
                h.getTotalCount(),
                h.getValueAtPercentile(50) / 1_000.0,
                h.getValueAtPercentile(90) / 1_000.0,
                h.getMaxValue() / 1_000.0));
  }

  private void play(Day day, long seed, Policy policy) {
    SimulatedCluster w = new SimulatedCluster(seed);
    w.policy = policy;
    w.additionalRunMs = 12_000;
    w.start(30, 60_000);
    for (int i = 0; i < day.times(); i++) {
      long fromMs = LOST_MS + i * day.everyMs();
      ZoneLossTest.lose(w, fromMs, day.lostForMs());
      w.time.schedule(fromMs, () -> follow(w, fromMs, lostTasks(w)));
    }
    w.time.runUntil(END_MS);
    violations += w.invariantChecker.violations.size();
    lapsed += w.expiredLeasesWithTasks;
    changes += w.stateService.revision();
  }

  private static List<String> lostTasks(SimulatedCluster w) {
    List<String> all = new ArrayList<>();
    w.machines.values().stream()
        .filter(m -> m.zone.equals(ZoneLossTest.ZONE))
        .forEach(m -> all.addAll(m.runningTasks()));
    return all;
  }

  /** Looks again and again which of the tasks run elsewhere, or are done. */
  private void follow(SimulatedCluster w, long lostMs, List<String> left) {
    List<String> still = new ArrayList<>();
    for (String task : left) {
      SimulatedUser user = w.users.get(InvariantChecker.jobId(task));
      if (w.invariantChecker.isCompleted(task) || runsElsewhere(w, task)) {
        afterMs
            .computeIfAbsent(kind(user), u -> new Histogram(END_MS, DIGITS))
            .recordValue(w.time.nowMs() - lostMs);
      } else if (user.cancellationConfirmedMs < 0) {
        still.add(task);
      }
    }
    if (!still.isEmpty()) {
      w.time.schedule(STEP_MS, () -> follow(w, lostMs, still));
    }
  }

  private static String kind(SimulatedUser user) {
    return (user.taskCount % 4 == 0 ? "urgent" : "standard")
        + (user.zone == null ? "" : ", bound to the zone");
  }

  private static boolean runsElsewhere(SimulatedCluster w, String task) {
    return w.machines.values().stream()
        .anyMatch(m -> !m.zone.equals(ZoneLossTest.ZONE) && m.runningTasks().contains(task));
  }
}
