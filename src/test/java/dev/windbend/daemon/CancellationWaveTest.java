package dev.windbend.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Many users cancel their jobs at the same time, and waiting jobs get the freed capacity. */
class CancellationWaveTest {
  private static final int MACHINES = 60;
  private static final int JOBS = 144;
  private static final long WAITING_JOBS_FROM_MS = 60_000;
  private static final long CANCELLATIONS_MS = 90_000;

  /** Guards against placement that waits until the ends of all cancelled jobs are stored. */
  @Tag("known-red")
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3})
  void startsWaitingJobsWhileCancelledJobsAreCleanedUp(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.cloudCapacity = MACHINES;
    cluster.teamMaxCores = 1_000;
    cluster.lossProbability = 0;
    cluster.delayProbability = 0;
    cluster.taskRunTimeMs = task -> 200_000;
    cluster.start(0, 1);
    List<SimulatedUser> cancellingUsers = new ArrayList<>();
    List<SimulatedUser> waitingUsers = new ArrayList<>();
    for (int job = 0; job < JOBS; job++) {
      SimulatedUser cancellingUser = new SimulatedUser(cluster, job, 1, null, true, false);
      cancellingUsers.add(cancellingUser);
      cluster.time.schedule(5_000 + 50L * job, cancellingUser::submit);
      SimulatedUser waitingUser = new SimulatedUser(cluster, JOBS + job, 1, null, true, false);
      waitingUsers.add(waitingUser);
      cluster.time.schedule(WAITING_JOBS_FROM_MS + 20L * job, waitingUser::submit);
    }
    cluster.time.runUntil(CANCELLATIONS_MS);
    for (SimulatedUser user : cancellingUsers) {
      user.cancelsJob = true;
      user.cancel();
    }
    cluster.time.runUntil(2 * CANCELLATIONS_MS);
    long[] waitsMs =
        waitingUsers.stream()
            .mapToLong(user -> user.firstTaskStartedMs - CANCELLATIONS_MS)
            .sorted()
            .toArray();
    assertThat(waitingUsers).allMatch(user -> user.firstTaskStartedMs >= 0);
    assertThat(waitsMs[JOBS * 3 / 4])
        .as("wait in ms within which three quarters of the jobs start")
        .isLessThan(1_500);
    assertThat(waitsMs[JOBS - 1]).as("wait in ms within which all jobs start").isLessThan(5_000);
    assertThat(cluster.stateService.countKeys("w/j/")).as("remaining job records").isEqualTo(JOBS);
    assertThat(cluster.invariantChecker.violations).isEmpty();
  }
}
