package dev.windbend.daemon;

import static dev.windbend.daemon.FaultInjection.crashControllers;
import static dev.windbend.daemon.FaultInjection.stateServiceOutage;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Machines with room for far more tasks than one message to or from a worker can list. {@link
 * InvariantChecker} reports each request body and each line of a response that is too large.
 */
class WorkerMessageSizeTest {
  private static final double TINY_CORES = 0.002;
  private static final double TINY_MEMORY_GB = 0.005;
  private static final int HUGE_ARRAY_TASKS = 1_500;
  private static final long TASK_RUN_MS = 8_000;
  private static final long SUBMISSION_MS = 5_000;
  private static final long SCENARIO_MS = 180_000;

  /** Their stops exceed one line, and their heartbeat its limit once all are stopped. */
  private static final int INHERITED_TASKS = 1_150;

  private static SimulatedCluster newCluster(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.lossProbability = 0;
    cluster.delayProbability = 0;
    cluster.invariantChecker.faultsEndMs = 0;
    cluster.taskRunTimeMs = task -> TASK_RUN_MS;
    cluster.start(0, 1);
    return cluster;
  }

  private static SimulatedUser submitTinyTasks(SimulatedCluster cluster, int job, int tasks) {
    SimulatedUser user = new SimulatedUser(cluster, job, "guests", tasks, null, true, false);
    user.coresPerTask = TINY_CORES;
    user.memoryGbPerTask = TINY_MEMORY_GB;
    cluster.time.schedule(SUBMISSION_MS, user::submit);
    return user;
  }

  /**
   * Guards against stops of all tasks of a machine at once that make its next heartbeat too large,
   * so that its lease expires: a controller of an earlier release may have placed as many tasks.
   */
  @Test
  void stopsMoreTasksThanHeartbeatHasSpaceFor() {
    SimulatedCluster cluster = newCluster(1);
    SimulatedUser user = new SimulatedUser(cluster, 0, "red", 1, null, true, false);
    cluster.taskRunTimeMs = task -> 60_000;
    cluster.time.schedule(SUBMISSION_MS, user::submit);
    cluster.time.runUntil(30_000);
    FakeWorker machine = cluster.invariantChecker.machinesOf(user).get(0);
    for (int task = 0; task < INHERITED_TASKS; task++) {
      machine.addRunningTask("wk-000009/" + task, 1);
    }
    cluster.time.runUntil(40_000);
    assertThat(machine.runningTasks()).containsExactly("wk-000000/0");
    assertThat(cluster.expiredLeasesWithTasks).isZero();
    assertThat(cluster.invariantChecker.violations).isEmpty();
  }

  /** Guards against an array of small tasks that keeps a larger task from cores that are free. */
  @Test
  void startsLargerTaskBesideHugeArrayOnTheOnlyMachine() {
    SimulatedCluster cluster = newCluster(1);
    cluster.cloudCapacity = 1;
    cluster.taskRunTimeMs = task -> 80_000;
    SimulatedUser arrayUser = submitTinyTasks(cluster, 1, 600);
    SimulatedUser largeUser = new SimulatedUser(cluster, 2, "guests", 1, null, true, false);
    afterFirstStart(cluster, arrayUser, 5_000, largeUser::submit);
    cluster.time.runUntil(SCENARIO_MS);
    assertThat(largeUser.firstTaskStartedMs - largeUser.firstSubmittedMs).isBetween(1L, 15_000L);
    assertThat(cluster.invariantChecker.violations).isEmpty();
  }

  private static Arguments scenario(String name, Consumer<SimulatedCluster> scenario) {
    return Arguments.of(name, scenario);
  }

  private static void afterFirstStart(
      SimulatedCluster cluster, SimulatedUser user, long delayMs, Runnable event) {
    cluster.time.schedule(
        50,
        () -> {
          if (user.firstTaskStartedMs >= 0) {
            cluster.time.schedule(delayMs, event);
          } else {
            afterFirstStart(cluster, user, delayMs, event);
          }
        });
  }

  private static void cancel(SimulatedUser user) {
    user.cancelsJob = true;
    user.cancel();
  }

  static Stream<Arguments> scenarios() {
    return Stream.of(
        scenario("one huge array", cluster -> submitTinyTasks(cluster, 1, HUGE_ARRAY_TASKS)),
        scenario(
            "many jobs of a few tasks",
            cluster -> {
              for (int job = 1; job <= 300; job++) {
                submitTinyTasks(cluster, job, 5);
              }
            }),
        scenario(
            "a huge array on the only machine",
            cluster -> {
              cluster.cloudCapacity = 1;
              submitTinyTasks(cluster, 1, HUGE_ARRAY_TASKS);
            }),
        scenario(
            "a huge array that its user cancels while its tasks start",
            cluster -> {
              SimulatedUser user = submitTinyTasks(cluster, 1, HUGE_ARRAY_TASKS);
              afterFirstStart(cluster, user, 0, () -> cancel(user));
            }),
        scenario(
            "a huge array that its user cancels while its tasks run",
            cluster -> {
              SimulatedUser user = submitTinyTasks(cluster, 1, HUGE_ARRAY_TASKS);
              afterFirstStart(cluster, user, 4_000, () -> cancel(user));
            }),
        scenario(
            "cancelled while the machines reach no controller",
            cluster -> {
              SimulatedUser user = submitTinyTasks(cluster, 1, HUGE_ARRAY_TASKS);
              afterFirstStart(
                  cluster,
                  user,
                  4_000,
                  () -> {
                    cluster.machinesWithBlockedRequests.addAll(cluster.machines.keySet());
                    cancel(user);
                  });
            }),
        scenario(
            "all controllers crash while the tasks start, and again while they end",
            cluster -> {
              SimulatedUser user = submitTinyTasks(cluster, 1, HUGE_ARRAY_TASKS);
              afterFirstStart(cluster, user, 100, () -> crashControllers(cluster, 500, 0, 1, 2));
              afterFirstStart(
                  cluster, user, TASK_RUN_MS, () -> crashControllers(cluster, 500, 0, 1, 2));
            }),
        scenario(
            "tasks end during an outage, so that their exits are not acknowledged",
            cluster -> {
              cluster.cloudCapacity = 2;
              SimulatedUser user = submitTinyTasks(cluster, 1, 2 * HUGE_ARRAY_TASKS);
              cluster.taskRunTimeMs = task -> 1_000 + SimulatedCluster.taskIndex(task) % 7_000;
              afterFirstStart(cluster, user, 2_000, () -> stateServiceOutage(cluster, 20_000));
            }));
  }

  /** Guards against machines with more tasks than their heartbeat can list. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("scenarios")
  void runsManyTinyTasksWithinMessageSizes(String name, Consumer<SimulatedCluster> scenario) {
    for (long seed = 1; seed <= 2; seed++) {
      SimulatedCluster cluster = newCluster(seed);
      scenario.accept(cluster);
      cluster.time.runUntil(SCENARIO_MS);
      assertThat(cluster.invariantChecker.violations).as("violations, seed %d", seed).isEmpty();
      assertThat(cluster.unfinishedJobs()).as("unfinished jobs, seed %d", seed).isEmpty();
      assertThat(cluster.invariantChecker.startedTasks).as("started tasks").isNotEmpty();
    }
  }
}
