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
    stand.capacity = CAPACITY;
    stand.loss = 0;
    stand.late = 0;
    stand.leastRunMs = 15_000;
    stand.tasksMost = TASKS;
    stand.teamCores = 480;
    ZoneLossTest.lose(stand, 25_000, 25_000);
    try (LoopbackCluster cluster = new LoopbackCluster(stand)) {
      cluster.start(JOBS, 20_000);
      assertThat(cluster.await(30, () -> stand.time.nowMs() >= 24_500)).isTrue();
      assertThat(cluster.on(() -> stand.machines.size())).as("workers").isGreaterThan(200);
      assertThat(cluster.await(20, () -> stand.store.liveKeys("w/z/") > 0)).as("noticed").isTrue();
      cluster.await(MOST_S, () -> stand.unfinished().isEmpty());
      assertThat(cluster.on(stand::unfinished)).as("jobs not told to be over").isEmpty();
      assertThat(cluster.on(() -> List.copyOf(stand.judge.violations))).isEmpty();
    }
  }
}
