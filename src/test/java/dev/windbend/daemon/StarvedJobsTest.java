package dev.windbend.daemon;

import static dev.windbend.daemon.FaultInjection.crashControllers;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The cloud has no more machines. Each machine of the first shard runs a long task and has free
 * capacity beside it, while jobs of other shards, within their teams' limits, have no machines.
 * {@link InvariantChecker} reports a violation if such a job waits for 90 s although there is
 * capacity for it.
 */
class StarvedJobsTest {
  private static final long SCENARIO_MS = 900_000;
  private static final long WAITING_JOBS_FROM_MS = 60_000;
  private static final int FIRST_JOB = 0;

  /** Every fourth task of the first job is long, so that each machine keeps one long task. */
  private static long runMsWithOneLongTaskPerMachine(String task) {
    return task.startsWith("wk-000000") && SimulatedCluster.taskIndex(task) % 4 == 0
        ? 400_000
        : 5_000;
  }

  private static Arguments scenario(
      String name, int machines, Consumer<SimulatedCluster> submitWaitingJobs) {
    return Arguments.of(name, machines, submitWaitingJobs);
  }

  private static void submit(
      SimulatedCluster cluster, int job, String team, int tasks, String zone) {
    SimulatedUser user = new SimulatedUser(cluster, job, team, tasks, zone, true, false);
    cluster.time.schedule(WAITING_JOBS_FROM_MS + 200L * (job % 50), user::submit);
  }

  static Stream<Arguments> scenarios() {
    return Stream.of(
        scenario("one small job", 4, cluster -> submit(cluster, 1, "blue", 1, null)),
        scenario("one array job", 6, cluster -> submit(cluster, 1, "blue", 12, null)),
        scenario(
            "many small jobs",
            6,
            cluster -> {
              for (int job = 1; job <= 30; job++) {
                submit(cluster, job, "blue", 1, null);
              }
            }),
        scenario(
            "jobs of two other shards",
            6,
            cluster -> {
              submit(cluster, 1, "blue", 3, null);
              submit(cluster, 2, "green", 3, null);
            }),
        scenario(
            "jobs bound to a zone",
            8,
            cluster -> {
              submit(cluster, 1, "blue", 2, "a");
              submit(cluster, 2, "green", 2, "b");
            }),
        scenario(
            "a job of the guest team, which has no guarantee",
            6,
            cluster -> submit(cluster, 1, "guests", 4, null)),
        scenario(
            "many one-task jobs of the guest team",
            6,
            cluster -> {
              for (int job = 1; job <= 30; job++) {
                submit(cluster, job, "guests", 1, null);
              }
            }),
        scenario(
            "a small job while controllers restart",
            4,
            cluster -> {
              submit(cluster, 1, "blue", 1, null);
              for (int i = 0; i < 3; i++) {
                int controller = i;
                cluster.time.schedule(
                    95_000 + 3_000 * i, () -> crashControllers(cluster, 1_000, controller));
              }
              cluster.invariantChecker.faultsEndMs = 105_000;
            }));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("scenarios")
  void placesWaitingJobsOnFreeCapacityOfAnotherShard(
      String name, int machines, Consumer<SimulatedCluster> submitWaitingJobs) {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed);
      cluster.cloudCapacity = machines;
      cluster.lossProbability = 0;
      cluster.delayProbability = 0;
      cluster.invariantChecker.faultsEndMs = 0;
      cluster.taskRunTimeMs = StarvedJobsTest::runMsWithOneLongTaskPerMachine;
      cluster.start(0, 1);
      SimulatedUser longTaskUser =
          new SimulatedUser(cluster, FIRST_JOB, "red", 4 * machines, null, true, false);
      cluster.time.schedule(5_000, longTaskUser::submit);
      submitWaitingJobs.accept(cluster);
      cluster.time.runUntil(SCENARIO_MS);
      assertThat(cluster.invariantChecker.violations)
          .as("no invariant is violated, seed %d", seed)
          .isEmpty();
      assertThat(cluster.unfinishedJobs()).as("all jobs are finished, seed %d", seed).isEmpty();
    }
  }
}
