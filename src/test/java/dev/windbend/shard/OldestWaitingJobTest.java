package dev.windbend.shard;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OldestWaitingJobTest {
  @ParameterizedTest(name = "{8}")
  @CsvSource(
      delimiter = '|',
      value = {
        "4200|-1|100|true |0|0 |0|false|its tasks fail on every machine, tried again in 5 s",
        "0   |96|100|true |3|0 |0|true |its team's limit, of which 96 of 100 cores are used",
        "-5  |-1|100|true |3|50|0|true |its turn: there is room, kept for work that is due first"
            + " or by its zone and spread",
        "0   |-1|100|false|0|0 |0|false|room",
        "0   |-1|100|false|3|50|2|true |room, 3 machines boot, 50 are asked of the cloud, 2 do not"
            + " report, leave or were just taken over, the cloud has no more of some kind",
      })
  void saysWhatAJobWaitsFor(
      long backOffMs,
      double usedAtLimit,
      double limit,
      boolean room,
      int booting,
      int asked,
      int unsure,
      boolean refused,
      String reason) {
    assertThat(
            OldestWaitingJob.reason(
                backOffMs, usedAtLimit, limit, room, booting, asked, unsure, refused))
        .isEqualTo(reason);
  }
}
