package dev.windbend.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StoreOutageDetectorTest {
  /** Steady clocks of different machines drift apart by so much. */
  private static final double CLOCK_DRIFT = 0.0005;

  /** A worker looks at its lease now and then, and a kill takes its time. */
  private static final double KILL_DELAY_S = 0.5;

  /**
   * A job is cancelled right after we knew of all cancellations; the last answer goes out as late
   * as may be, to a report sent just then. Its tasks are gone in time all the same.
   */
  @ParameterizedTest(name = "report {0} s, lease {1} s, cancellation {2} s")
  @CsvSource({
    "3, 30, 50, 19020",
    "6, 30, 50, 19020",
    "1.5, 14, 34, 19052",
    "4, 22, 42, 19036",
    "6, 60, 70, 8970",
    "1, 10, 11.5, 578",
    // Barely longer than a lease: then nothing is kept, whoever vouches.
    "3, 30, 30.9, -61",
    "3, 30, 30, -959",
    "3, 30, 20, -10949"
  })
  void endsLeaseRenewalBeforeCancellationDeadline(
      double heartbeatS, double leaseS, double cancelS, long expectedWindowMs) {
    long windowMs = StoreOutageDetector.leaseRenewalWindowMs(leaseS, cancelS);
    assertThat(windowMs).isEqualTo(expectedWindowMs);
    if (windowMs > 0) {
      double terminatedS =
          windowMs / 1000.0 * (1 + CLOCK_DRIFT) + leaseS * (1 + CLOCK_DRIFT) + KILL_DELAY_S;
      assertThat(terminatedS).isLessThan(cancelS);
    }
  }
}
