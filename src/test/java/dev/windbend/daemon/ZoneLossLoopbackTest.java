package dev.windbend.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A zone with half of several hundred workers is lost and returns, over sockets in real time. */
class ZoneLossLoopbackTest {
  private static final int CAPACITY = 600;
  private static final int JOBS = 180;
  private static final int MAX_TASKS_PER_JOB = 16;
  private static final int MAX_WAIT_S = 120;

  @Test
  void runsNoTaskTwiceAndCompletesAllJobs() throws Exception {
    SimulatedCluster simulation = new SimulatedCluster(11);
    simulation.policy = OperatorSettings.parse(ZoneLossTest.SETTINGS, List.of("a", "b"));
    simulation.cloudCapacity = CAPACITY;
    simulation.lossProbability = 0;
    simulation.delayProbability = 0;
    simulation.additionalRunMs = 15_000;
    simulation.maxTasksPerJob = MAX_TASKS_PER_JOB;
    simulation.teamMaxCores = 480;
    ZoneLossTest.loseZone(simulation, 25_000, 25_000);
    try (LoopbackCluster cluster = new LoopbackCluster(simulation)) {
      cluster.start(JOBS, 20_000);
      assertThat(cluster.awaitCondition(30, () -> simulation.time.nowMs() >= 24_500)).isTrue();
      assertThat(cluster.callOnEventLoop(() -> simulation.machines.size()))
          .as("workers")
          .isGreaterThan(200);
      assertThat(cluster.awaitCondition(20, () -> simulation.stateService.countKeys("w/z/") > 0))
          .as("noticed")
          .isTrue();
      cluster.awaitCondition(MAX_WAIT_S, () -> simulation.unfinishedJobs().isEmpty());
      assertThat(cluster.callOnEventLoop(simulation::unfinishedJobs))
          .as("jobs whose end has not been reported to the user")
          .isEmpty();
      assertThat(cluster.callOnEventLoop(() -> List.copyOf(simulation.invariantChecker.violations)))
          .isEmpty();
    }
  }
}
