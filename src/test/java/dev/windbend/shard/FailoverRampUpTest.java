package dev.windbend.shard;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.job.Job;
import dev.windbend.job.TestJobs;
import dev.windbend.job.Urgency;
import dev.windbend.runtime.ManualEventLoop;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The first scheduling cycles after a failover delay neither heartbeats nor renewals of the lease.
 */
class FailoverRampUpTest {
  private static final double HEARTBEAT_SECONDS = 2;

  private final ManualEventLoop loop = new ManualEventLoop(50_000);
  private final FailoverRampUp rampUp = new FailoverRampUp(loop, HEARTBEAT_SECONDS);

  @Test
  void cyclesWaitForHeartbeatsUpToTheLimit() {
    rampUp.start();
    assertThat(rampUp.maySchedule(() -> false)).isFalse();
    loop.nowMs += (long) (1_000 * HEARTBEAT_SECONDS);
    assertThat(rampUp.maySchedule(() -> false)).as("heartbeats may still arrive").isFalse();
    loop.nowMs += (long) (500 * HEARTBEAT_SECONDS);
    assertThat(rampUp.maySchedule(() -> false)).as("maximum wait has passed").isTrue();
  }

  @Test
  void cyclesBeginOnceAllMachinesAreConfirmed() {
    rampUp.start();
    assertThat(rampUp.maySchedule(() -> true)).isTrue();
    assertThat(rampUp.maySchedule(() -> false)).as("stays allowed").isTrue();
  }

  @Test
  void jobLimitDoublesEachCycleAndMostUrgentJobsAreFirst() {
    List<Job> waiting = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      waiting.add(TestJobs.createJob(i, i < 50 ? Urgency.STANDARD : Urgency.URGENT));
    }
    List<Integer> sizes = new ArrayList<>();
    assertThat(rampUp.nextCycleJobs(waiting)).allMatch(j -> j.spec().urgency() == Urgency.URGENT);
    for (int cycle = 0; cycle < 4; cycle++) {
      sizes.add(rampUp.nextCycleJobs(waiting).size());
    }
    assertThat(sizes).containsExactly(16, 32, 60, 60);
    for (int cycle = 0; cycle < 100; cycle++) {
      rampUp.nextCycleJobs(List.of());
    }
    assertThat(rampUp.nextCycleJobs(waiting)).as("limit grown beyond all jobs").isEqualTo(waiting);
  }
}
