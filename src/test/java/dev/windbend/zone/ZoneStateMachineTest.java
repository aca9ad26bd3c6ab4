package dev.windbend.zone;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests when a zone becomes unreachable, when it returns, and that flapping is bounded. */
class ZoneStateMachineTest {
  private static final ZonePolicy POLICY =
      new ZonePolicy(true, List.of(), 3_000, 2_000, 10_000, 80_000, 100_000, 1, 5_000);
  private static final long STEP_MS = 500;
  private static final ZoneEvidence ALL_RESPONSIVE = new ZoneEvidence(10, 0, 0, false);
  private static final ZoneEvidence MOSTLY_SILENT = new ZoneEvidence(1, 9, 0, false);

  private final ZoneStateMachine stateMachine = new ZoneStateMachine(POLICY, 0);
  private long nowMs;

  private void advance(ZoneEvidence evidence, long durationMs) {
    for (long untilMs = nowMs + durationMs; nowMs < untilMs; ) {
      nowMs += STEP_MS;
      stateMachine.observe(evidence, true, nowMs);
    }
  }

  @ParameterizedTest(name = "responsive {0}, silent {1}, unresponsive {2}, inconclusive {3}: {4}")
  @CsvSource({
    "10, 0, 0, false, HEALTHY",
    "10, 1, 0, false, HEALTHY",
    "0, 1, 0, false, HEALTHY",
    "10, 4, 0, false, DEGRADED",
    "5, 5, 0, false, DEGRADED",
    "4, 8, 0, false, DEGRADED",
    "4, 9, 0, false, UNREACHABLE",
    "0, 0, 3, false, UNREACHABLE",
    "0, 2, 0, false, UNREACHABLE",
    "0, 9, 0, true, HEALTHY",
    "0, 0, 0, false, HEALTHY",
  })
  void entersExpectedStateForEvidence(
      int responsive, int silent, int unresponsive, boolean inconclusive, ZoneState state) {
    advance(new ZoneEvidence(responsive, silent, unresponsive, inconclusive), 4_000);
    assertThat(stateMachine.state()).isEqualTo(state);
  }

  @Test
  void changesStateOnlyAfterSustainedEvidence() {
    advance(MOSTLY_SILENT, 2_500);
    advance(ALL_RESPONSIVE, 500);
    advance(MOSTLY_SILENT, 3_000);
    assertThat(stateMachine.state())
        .as("loss interrupted before the detection time")
        .isNotEqualTo(unreachable());
    advance(MOSTLY_SILENT, 1_000);
    assertThat(stateMachine.state()).isEqualTo(unreachable());
    advance(ALL_RESPONSIVE, 9_000);
    assertThat(stateMachine.state())
        .as("responsive again, but within the backoff")
        .isEqualTo(unreachable());
    advance(MOSTLY_SILENT, 5_000);
    advance(ALL_RESPONSIVE, 2_000);
    assertThat(stateMachine.state())
        .as("responsive again, but not for long enough")
        .isEqualTo(unreachable());
    advance(ALL_RESPONSIVE, 1_000);
    assertThat(stateMachine.state()).isEqualTo(ZoneState.RETURNING);
    advance(MOSTLY_SILENT, 500);
    assertThat(stateMachine.state())
        .as("loss of a returning zone takes effect immediately")
        .isEqualTo(unreachable());
  }

  private static ZoneState unreachable() {
    return ZoneState.UNREACHABLE;
  }

  @Test
  void doublesBackoffUpToMaximumAndDecaysIt() {
    List<Long> backoffs = new ArrayList<>();
    for (int loss = 0; loss < 5; loss++) {
      advance(MOSTLY_SILENT, 4_000);
      backoffs.add(stateMachine.earliestReturnMs() - stateMachine.stateSinceMs());
      advance(ALL_RESPONSIVE, 95_000);
    }
    assertThat(backoffs).containsExactly(10_000L, 20_000L, 40_000L, 80_000L, 80_000L);
    advance(ALL_RESPONSIVE, 600_000);
    assertThat(stateMachine.losses()).isZero();
    assertThat(stateMachine.state()).isEqualTo(ZoneState.HEALTHY);
  }

  @Test
  void continuesBackoffAfterRestore() {
    stateMachine.restore(unreachable(), 3, 30_000, 0);
    advance(ALL_RESPONSIVE, 9_000);
    assertThat(stateMachine.state()).isEqualTo(unreachable());
    advance(ALL_RESPONSIVE, 1_500);
    assertThat(stateMachine.state()).isEqualTo(ZoneState.RETURNING);
  }

  @Provide
  Arbitrary<List<ZoneEvidence>> evidenceSequences() {
    Arbitrary<ZoneEvidence> randomEvidence =
        Arbitraries.integers()
            .between(0, 6)
            .list()
            .ofSize(3)
            .map(n -> new ZoneEvidence(n.get(0), n.get(1), n.get(2), n.get(2) == 6));
    Arbitrary<ZoneEvidence> typicalOrRandomEvidence =
        Arbitraries.oneOf(randomEvidence, Arbitraries.of(ALL_RESPONSIVE, MOSTLY_SILENT));
    // Repeats each evidence, as the zone would rarely change its state otherwise.
    return Arbitraries.integers()
        .between(1, 80)
        .flatMap(
            length -> typicalOrRandomEvidence.map(e -> java.util.Collections.nCopies(length, e)))
        .list()
        .ofMaxSize(40)
        .map(repeated -> repeated.stream().flatMap(List::stream).toList());
  }

  /**
   * For any sequence of evidence, a zone returns only after the backoff since its loss. The backoff
   * doubles with each loss that has not decayed.
   */
  @Property(tries = 400, shrinking = ShrinkingMode.BOUNDED)
  void neverReturnsBeforeBackoffHasElapsed(
      @ForAll("evidenceSequences") List<ZoneEvidence> evidenceSequence) {
    ZoneStateMachine testedStateMachine = new ZoneStateMachine(POLICY, 0);
    long currentMs = 0;
    long lostMs = 0;
    ZoneState previousState = testedStateMachine.state();
    for (ZoneEvidence evidence : evidenceSequence) {
      currentMs += STEP_MS;
      int previousLosses = testedStateMachine.losses();
      testedStateMachine.observe(evidence, true, currentMs);
      ZoneState newState = testedStateMachine.state();
      if (newState == unreachable() && previousState != newState) {
        assertThat(testedStateMachine.losses()).isEqualTo(previousLosses + 1);
        lostMs = currentMs;
      }
      if (newState == ZoneState.RETURNING && previousState != newState) {
        assertThat(previousState).isEqualTo(unreachable());
        assertThat(currentMs - lostMs)
            .isGreaterThanOrEqualTo(POLICY.backoffMs(testedStateMachine.losses()));
      }
      if (testedStateMachine.losses() < previousLosses) {
        assertThat(currentMs - testedStateMachine.stateSinceMs())
            .isGreaterThanOrEqualTo(POLICY.backoffDecayMs());
      }
      previousState = newState;
    }
  }

  /** The limiter never allows more machines than its maximum rate and its capacity permit. */
  @Property(tries = 200)
  void rateLimiterNeverExceedsMaximumRateAndBurst(@ForAll("intervals") List<Integer> intervalsMs) {
    ReturnRateLimiter rateLimiter = new ReturnRateLimiter(POLICY);
    rateLimiter.restart(0);
    long currentMs = 0;
    long consumedMachines = 0;
    for (int intervalMs : intervalsMs) {
      currentMs += intervalMs;
      rateLimiter.advance(currentMs);
      int availableMachines = rateLimiter.availableMachines();
      rateLimiter.consume(availableMachines);
      consumedMachines += availableMachines;
      long doublings = currentMs / POLICY.rateDoublingMs();
      double maxMachines =
          POLICY.initialReturnPerSecond()
                  * Math.pow(2, (double) doublings)
                  * (currentMs / 1_000.0 + 2)
              + 1;
      assertThat((double) consumedMachines).isLessThanOrEqualTo(maxMachines);
    }
  }

  @Provide
  Arbitrary<List<Integer>> intervals() {
    return Arbitraries.integers().between(1, 2_000).list().ofMaxSize(60);
  }
}
