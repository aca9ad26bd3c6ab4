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

/** When a zone is taken for lost, when it returns, and that it never does so too often. */
class ZoneTrackerTest {
  private static final ZonePolicy POLICY =
      new ZonePolicy(true, List.of(), 3_000, 2_000, 10_000, 80_000, 100_000, 1, 5_000);
  private static final long STEP_MS = 500;
  private static final ZoneEvidence WELL = new ZoneEvidence(10, 0, 0, false);
  private static final ZoneEvidence LOST = new ZoneEvidence(1, 9, 0, false);

  private final ZoneStateMachine tracker = new ZoneStateMachine(POLICY, 0);
  private long nowMs;

  private void pass(ZoneEvidence evidence, long forMs) {
    for (long until = nowMs + forMs; nowMs < until; ) {
      nowMs += STEP_MS;
      tracker.observe(evidence, true, nowMs);
    }
  }

  @ParameterizedTest(name = "heard {0}, silent {1}, deaf {2}, isolated {3}: {4}")
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
  void evidenceDecides(int heard, int silent, int deaf, boolean isolated, ZoneState state) {
    pass(new ZoneEvidence(heard, silent, deaf, isolated), 4_000);
    assertThat(tracker.state()).isEqualTo(state);
  }

  @Test
  void aLossHasToLastAndSoHasAReturn() {
    pass(LOST, 2_500);
    pass(WELL, 500);
    pass(LOST, 3_000);
    assertThat(tracker.state())
        .as("not lost for long enough at a time")
        .isNotEqualTo(unreachable());
    pass(LOST, 1_000);
    assertThat(tracker.state()).isEqualTo(unreachable());
    pass(WELL, 9_000);
    assertThat(tracker.state()).as("within its backoff").isEqualTo(unreachable());
    pass(LOST, 5_000);
    pass(WELL, 2_000);
    assertThat(tracker.state()).as("heard again for too short a time").isEqualTo(unreachable());
    pass(WELL, 1_000);
    assertThat(tracker.state()).isEqualTo(ZoneState.RETURNING);
    pass(LOST, 500);
    assertThat(tracker.state()).as("a relapse counts at once").isEqualTo(unreachable());
  }

  private static ZoneState unreachable() {
    return ZoneState.UNREACHABLE;
  }

  @Test
  void theBackoffDoublesToItsBoundAndDecays() {
    List<Long> backoffs = new ArrayList<>();
    for (int loss = 0; loss < 5; loss++) {
      pass(LOST, 4_000);
      backoffs.add(tracker.earliestReturnMs() - tracker.stateSinceMs());
      pass(WELL, 95_000);
    }
    assertThat(backoffs).containsExactly(10_000L, 20_000L, 40_000L, 80_000L, 80_000L);
    pass(WELL, 600_000);
    assertThat(tracker.losses()).isZero();
    assertThat(tracker.state()).isEqualTo(ZoneState.HEALTHY);
  }

  @Test
  void aSuccessorGoesOnWithTheBackoff() {
    tracker.restore(unreachable(), 3, 30_000, 0);
    pass(WELL, 9_000);
    assertThat(tracker.state()).isEqualTo(unreachable());
    pass(WELL, 1_500);
    assertThat(tracker.state()).isEqualTo(ZoneState.RETURNING);
  }

  @Provide
  Arbitrary<List<ZoneEvidence>> evidence() {
    Arbitrary<ZoneEvidence> any =
        Arbitraries.integers()
            .between(0, 6)
            .list()
            .ofSize(3)
            .map(n -> new ZoneEvidence(n.get(0), n.get(1), n.get(2), n.get(2) == 6));
    Arbitrary<ZoneEvidence> one = Arbitraries.oneOf(any, Arbitraries.of(WELL, LOST));
    // Spells of some length, as the zone would hardly ever change its state otherwise.
    return Arbitraries.integers()
        .between(1, 80)
        .flatMap(length -> one.map(e -> java.util.Collections.nCopies(length, e)))
        .list()
        .ofMaxSize(40)
        .map(spells -> spells.stream().flatMap(List::stream).toList());
  }

  /**
   * Whatever comes, a zone returns no sooner than its backoff after its loss, which doubles with
   * each loss that has not decayed.
   */
  @Property(tries = 400, shrinking = ShrinkingMode.BOUNDED)
  void neverOscillatesBeyondItsBound(@ForAll("evidence") List<ZoneEvidence> schedule) {
    ZoneStateMachine any = new ZoneStateMachine(POLICY, 0);
    long now = 0;
    long lostMs = 0;
    ZoneState before = any.state();
    for (ZoneEvidence e : schedule) {
      now += STEP_MS;
      int lossesBefore = any.losses();
      any.observe(e, true, now);
      ZoneState after = any.state();
      if (after == unreachable() && before != after) {
        assertThat(any.losses()).isEqualTo(lossesBefore + 1);
        lostMs = now;
      }
      if (after == ZoneState.RETURNING && before != after) {
        assertThat(before).isEqualTo(unreachable());
        assertThat(now - lostMs).isGreaterThanOrEqualTo(POLICY.backoffMs(any.losses()));
      }
      if (any.losses() < lossesBefore) {
        assertThat(now - any.stateSinceMs()).isGreaterThanOrEqualTo(POLICY.backoffDecayMs());
      }
      before = after;
    }
  }

  /** The ramp gives no more machines in any time than its fastest rate and its bucket allow. */
  @Property(tries = 200)
  void theRampIsBounded(@ForAll("gaps") List<Integer> gapsMs) {
    ReturnRateLimiter ramp = new ReturnRateLimiter(POLICY);
    ramp.restart(0);
    long now = 0;
    long taken = 0;
    for (int gapMs : gapsMs) {
      now += gapMs;
      ramp.advance(now);
      int some = ramp.availableMachines();
      ramp.consume(some);
      taken += some;
      long doublings = now / POLICY.rateDoublingMs();
      double most =
          POLICY.initialReturnPerSecond() * Math.pow(2, (double) doublings) * (now / 1_000.0 + 2)
              + 1;
      assertThat((double) taken).isLessThanOrEqualTo(most);
    }
  }

  @Provide
  Arbitrary<List<Integer>> gaps() {
    return Arbitraries.integers().between(1, 2_000).list().ofMaxSize(60);
  }
}
