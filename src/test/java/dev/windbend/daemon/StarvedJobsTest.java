package dev.windbend.daemon;

import static dev.windbend.daemon.FaultInjection.crashControllers;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The cloud has no more machines. Those of the first shard keep a long task each and have room
 * beside it, while jobs of other shards, under their teams' limits, find none. The judge of {@link
 * SimulatedCluster} says whether any of them waits for 90 s beside such room.
 */
class StarvedJobsTest {
  private static final long DAY_MS = 900_000;
  private static final long WAITING_FROM_MS = 60_000;
  private static final int FIRST_JOB = 0;

  /** Every fourth task of the first job is long, so that one is left on each machine. */
  private static long oneLongTaskOnEachMachine(String task) {
    return task.startsWith("wk-000000") && SimulatedCluster.taskIndex(task) % 4 == 0
        ? 400_000
        : 5_000;
  }

  private static Arguments waiting(String name, int machines, Consumer<SimulatedCluster> jobs) {
    return Arguments.of(name, machines, jobs);
  }

  private static void submit(SimulatedCluster w, int number, String team, int tasks, String zone) {
    SimulatedUser user = new SimulatedUser(w, number, team, tasks, zone, true, false);
    w.time.schedule(WAITING_FROM_MS + 200L * (number % 50), user::submit);
  }

  static Stream<Arguments> jobsThatWait() {
    return Stream.of(
        waiting("one small job", 4, w -> submit(w, 1, "blue", 1, null)),
        waiting("one array", 6, w -> submit(w, 1, "blue", 12, null)),
        waiting(
            "many small jobs",
            6,
            w -> {
              for (int n = 1; n <= 30; n++) {
                submit(w, n, "blue", 1, null);
              }
            }),
        waiting(
            "jobs of two other shards",
            6,
            w -> {
              submit(w, 1, "blue", 3, null);
              submit(w, 2, "green", 3, null);
            }),
        waiting(
            "jobs that are bound to a zone",
            8,
            w -> {
              submit(w, 1, "blue", 2, "a");
              submit(w, 2, "green", 2, "b");
            }),
        waiting("a guest without a guarantee", 6, w -> submit(w, 1, "guests", 4, null)),
        waiting(
            "guests with many single tasks",
            6,
            w -> {
              for (int n = 1; n <= 30; n++) {
                submit(w, n, "guests", 1, null);
              }
            }),
        waiting(
            "a small job while owners restart",
            4,
            w -> {
              submit(w, 1, "blue", 1, null);
              for (int n = 0; n < 3; n++) {
                int node = n;
                w.time.schedule(95_000 + 3_000 * n, () -> crashControllers(w, 1_000, node));
              }
              w.invariantChecker.faultsEndMs = 105_000;
            }));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("jobsThatWait")
  void noJobWaitsBesideRoomOfAnotherShard(
      String name, int machines, Consumer<SimulatedCluster> jobs) {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster w = new SimulatedCluster(seed);
      w.cloudCapacity = machines;
      w.lossProbability = 0;
      w.delayProbability = 0;
      w.invariantChecker.faultsEndMs = 0;
      w.runs = StarvedJobsTest::oneLongTaskOnEachMachine;
      w.start(0, 1);
      SimulatedUser first = new SimulatedUser(w, FIRST_JOB, "red", 4 * machines, null, true, false);
      w.time.schedule(5_000, first::submit);
      jobs.accept(w);
      w.time.runUntil(DAY_MS);
      assertThat(w.invariantChecker.violations).as("rules, seed %d", seed).isEmpty();
      assertThat(w.unfinishedJobs()).as("unfinished, seed %d", seed).isEmpty();
    }
  }
}
