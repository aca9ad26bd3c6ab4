package dev.windbend.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Many users cancel within a moment, and others' jobs get the room. */
class CancellationWaveTest {
  private static final int MACHINES = 60;
  private static final int JOBS = 144;
  private static final long WAITING_FROM_MS = 60_000;
  private static final long WAVE_MS = 90_000;

  /** Guards against placements that wait until the ends of all cancelled jobs are on record. */
  @Tag("known-red")
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3})
  void whatWaitsStartsWhileCancelledJobsAreCleanedUp(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.cloudCapacity = MACHINES;
    cluster.teamMaxCores = 1_000;
    cluster.lossProbability = 0;
    cluster.delayProbability = 0;
    cluster.runs = task -> 200_000;
    cluster.start(0, 1);
    List<SimulatedUser> cancelling = new ArrayList<>();
    List<SimulatedUser> waiting = new ArrayList<>();
    for (int n = 0; n < JOBS; n++) {
      SimulatedUser first = new SimulatedUser(cluster, n, 1, null, true, false);
      cancelling.add(first);
      cluster.time.schedule(5_000 + 50L * n, first::submit);
      SimulatedUser second = new SimulatedUser(cluster, JOBS + n, 1, null, true, false);
      waiting.add(second);
      cluster.time.schedule(WAITING_FROM_MS + 20L * n, second::submit);
    }
    cluster.time.runUntil(WAVE_MS);
    for (SimulatedUser user : cancelling) {
      user.cancelsJob = true;
      user.cancel();
    }
    cluster.time.runUntil(2 * WAVE_MS);
    long[] waits =
        waiting.stream().mapToLong(user -> user.firstTaskStartedMs - WAVE_MS).sorted().toArray();
    assertThat(waiting).allMatch(user -> user.firstTaskStartedMs >= 0);
    assertThat(waits[JOBS * 3 / 4]).as("three quarters of them begin within").isLessThan(1_500);
    assertThat(waits[JOBS - 1]).as("all of them begin within").isLessThan(5_000);
    assertThat(cluster.stateService.countKeys("w/j/")).as("live jobs").isEqualTo(JOBS);
    assertThat(cluster.invariantChecker.violations).isEmpty();
  }
}
