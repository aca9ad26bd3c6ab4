package dev.windbend.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which reason is logged for a job that waits, if several apply. */
class OldestWaitingJobTest {
  @ParameterizedTest(name = "{8}")
  @CsvSource(
      delimiter = '|',
      value = {
        "4200|-1|100|true |0|0 |0|false|cause=backoff retry_in_s=5",
        "0   |96|100|true |3|0 |0|true |cause=team_quota used_cores=96 max_cores=100",
        "-5  |-1|100|true |3|50|0|true |cause=capacity_reserved",
        "0   |-1|100|false|0|0 |0|false|cause=no_capacity booting=0 requested=0 unavailable=0"
            + " cloud_exhausted=false",
        "0   |-1|100|false|3|50|2|true |cause=no_capacity booting=3 requested=50 unavailable=2"
            + " cloud_exhausted=true",
      })
  void logsFirstApplicableReason(
      long backoffMs,
      double usedCores,
      double maxCores,
      boolean capacityAvailable,
      int booting,
      int requested,
      int unavailable,
      boolean cloudExhausted,
      String expected) {
    Optional<WaitReason.TeamQuota> quota =
        usedCores < 0
            ? Optional.empty()
            : Optional.of(new WaitReason.TeamQuota(usedCores, maxCores));
    WaitReason.NoCapacity shortage =
        new WaitReason.NoCapacity(booting, requested, unavailable, cloudExhausted);
    WaitReason reason =
        OldestWaitingJob.reason(
            Optional.empty(),
            backoffMs,
            quota,
            new OldestWaitingJob.Capacity(capacityAvailable, shortage));
    assertThat(reason.toLogFields()).isEqualTo(expected);
  }
}
