package dev.windbend.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A zone with half of a few hundred workers is lost and returns, over sockets in real time. */
class ZoneLossLoopbackTest {
  private static final int CAPACITY = 600;
  private static final int JOBS = 180;
  private static final int TASKS = 16;
  private static final int MOST_S = 120;

  @Test
  void noTaskRunsTwiceAndAllWorkEnds() throws Exception {
    SimulatedCluster stand = new SimulatedCluster(11);
    stand.policy = OperatorSettings.parse(ZoneLossTest.SETTINGS, List.of("a", "b"));
    stand.cloudCapacity = CAPACITY;
    stand.lossProbability = 0;
    stand.delayProbability = 0;
    stand.additionalRunMs = 15_000;
    stand.maxTasksPerJob = TASKS;
    stand.teamMaxCores = 480;
    ZoneLossTest.lose(stand, 25_000, 25_000);
    try (LoopbackCluster cluster = new LoopbackCluster(stand)) {
      cluster.start(JOBS, 20_000);
      assertThat(cluster.awaitCondition(30, () -> stand.time.nowMs() >= 24_500)).isTrue();
      assertThat(cluster.callOnEventLoop(() -> stand.machines.size()))
          .as("workers")
          .isGreaterThan(200);
      assertThat(cluster.awaitCondition(20, () -> stand.stateService.countKeys("w/z/") > 0))
          .as("noticed")
          .isTrue();
      cluster.awaitCondition(MOST_S, () -> stand.unfinishedJobs().isEmpty());
      assertThat(cluster.callOnEventLoop(stand::unfinishedJobs))
          .as("jobs not told to be over")
          .isEmpty();
      assertThat(cluster.callOnEventLoop(() -> List.copyOf(stand.invariantChecker.violations)))
          .isEmpty();
    }
  }
}
