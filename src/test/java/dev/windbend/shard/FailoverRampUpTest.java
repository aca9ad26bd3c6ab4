package dev.windbend.shard;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.job.Job;
import dev.windbend.job.TestJobs;
import dev.windbend.job.Urgency;
import dev.windbend.runtime.ManualEventLoop;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The first rounds after a takeover hold up neither reports nor the renewal of the lease. */
class FailoverRampUpTest {
  private static final double REPORT_S = 2;

  private final ManualEventLoop loop = new ManualEventLoop(50_000);
  private final FailoverRampUp start = new FailoverRampUp(loop, REPORT_S);

  @Test
  void roundsWaitForReportsButNotForEver() {
    start.takenOver();
    assertThat(start.mayPlan(() -> false)).isFalse();
    loop.nowMs += (long) (1_000 * REPORT_S);
    assertThat(start.mayPlan(() -> false)).as("some are late").isFalse();
    loop.nowMs += (long) (500 * REPORT_S);
    assertThat(start.mayPlan(() -> false)).as("some are gone").isTrue();
  }

  @Test
  void roundsBeginOnceAllMachinesAreHeard() {
    start.takenOver();
    assertThat(start.mayPlan(() -> true)).isTrue();
    assertThat(start.mayPlan(() -> false)).as("begun once and for all").isTrue();
  }

  @Test
  void jobsDoubleEachRoundAndTheMostUrgentAreFirst() {
    List<Job> waiting = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      waiting.add(TestJobs.job(i, i < 50 ? Urgency.STANDARD : Urgency.URGENT));
    }
    List<Integer> sizes = new ArrayList<>();
    assertThat(start.next(waiting)).allMatch(j -> j.spec().urgency() == Urgency.URGENT);
    for (int round = 0; round < 4; round++) {
      sizes.add(start.next(waiting).size());
    }
    assertThat(sizes).containsExactly(16, 32, 60, 60);
    for (int round = 0; round < 100; round++) {
      start.next(List.of());
    }
    assertThat(start.next(waiting)).as("without limit for good").isEqualTo(waiting);
  }
}
