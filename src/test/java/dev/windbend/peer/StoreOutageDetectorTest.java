package dev.windbend.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StoreOutageDetectorTest {
  /** Assumed relative drift between the monotonic clocks of different machines. */
  private static final double CLOCK_DRIFT = 0.0005;

  /**
   * Time for a worker to detect the expiry of its lease, which it checks periodically, and to kill
   * its tasks.
   */
  private static final double KILL_DELAY_S = 0.5;

  /**
   * Guards against tasks of a cancelled job that outlive the cancellation deadline. The worst case:
   * a job is cancelled directly after this controller knew all cancellations, and the last response
   * is sent at the end of the window, to a heartbeat sent at the same time.
   */
  @ParameterizedTest(name = "heartbeat {0} s, lease {1} s, cancellation {2} s")
  @CsvSource({
    "3, 30, 50, 19020",
    "6, 30, 50, 19020",
    "1.5, 14, 34, 19052",
    "4, 22, 42, 19036",
    "6, 60, 70, 8970",
    "1, 10, 11.5, 578",
    // Deadline barely longer than a lease, or shorter: leases are never renewed.
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
