package dev.windbend.shard;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.daemon.io.ManualLoop;
import dev.windbend.job.Job;
import dev.windbend.job.JobRecord;
import dev.windbend.job.JobSpec;
import dev.windbend.job.Urgency;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** The first rounds after a takeover hold up neither reports nor the renewal of the lease. */
class GradualStartTest {
  private static final double REPORT_S = 2;

  private final ManualLoop loop = new ManualLoop(50_000);
  private final GradualStart start = new GradualStart(loop, REPORT_S, 2_000);

  private static Job job(int number, Urgency urgency) {
    JobSpec spec =
        new JobSpec(
            "wk-%06d".formatted(number),
            "kind",
            "team",
            urgency,
            1,
            1,
            0,
            1,
            "image",
            1,
            null,
            null,
            false,
            false,
            true,
            10,
            0,
            0,
            null);
    return new Job(new JobRecord.Live(spec, number, false), 1, 0, 0);
  }

  private boolean mayPlan(int machines, int heard) {
    return start.mayPlan(() -> new GradualStart.Inherited(machines, heard));
  }

  /** Of 1,400 machines some never report: the wait is bounded by the settings all the same. */
  @ParameterizedTest(name = "{0} machines, {1} heard, {2} ms after the takeover: {3}")
  @CsvSource({
    "1400, 0, 0, false",
    "1400, 1259, 1999, false",
    "1400, 1260, 0, true",
    "1400, 0, 2000, true",
    "1400, 1399, 0, true",
    "9, 8, 1999, false",
    "9, 9, 0, true",
    "0, 0, 0, true"
  })
  void roundsWaitForReportsOfMostMachines(int machines, int heard, long afterMs, boolean mayPlan) {
    start.takenOver();
    loop.nowMs += afterMs;
    assertThat(mayPlan(machines, heard)).isEqualTo(mayPlan);
  }

  @ParameterizedTest(name = "reports each {0} s, at most {1} ms: {2} ms")
  @CsvSource({"6, 2000, 2000", "1.5, 4000, 2250", "6, 0, 0", "6, 60000, 9000"})
  void theWaitIsTheSettingsOrOneAndAHalfIntervals(double reportS, long mostMs, long waitMs) {
    GradualStart bounded = new GradualStart(loop, reportS, mostMs);
    bounded.takenOver();
    loop.nowMs += waitMs - 1;
    assertThat(bounded.mayPlan(() -> new GradualStart.Inherited(10, 0))).isFalse();
    loop.nowMs += 1;
    assertThat(bounded.mayPlan(() -> new GradualStart.Inherited(10, 0))).isTrue();
  }

  @Test
  void roundsHaveBegunOnceAndForAll() {
    start.takenOver();
    assertThat(mayPlan(10, 10)).isTrue();
    assertThat(mayPlan(10, 0)).isTrue();
  }

  private static List<Job> jobs(int standard, int urgent) {
    List<Job> waiting = new ArrayList<>();
    for (int i = 0; i < standard + urgent; i++) {
      waiting.add(job(i, i < standard ? Urgency.STANDARD : Urgency.URGENT));
    }
    return waiting;
  }

  /** What each round costs, and how many jobs the rounds then consider. */
  static Stream<Arguments> costs() {
    return Stream.of(
        Arguments.of("quick", List.of(1, 1, 1, 1), List.of(8, 64, 512, 1_000)),
        Arguments.of("at the bound", List.of(100, 101, 1, 1), List.of(8, 64, 128, 1_000)),
        Arguments.of("middling", List.of(999, 500, 101, 999), List.of(8, 16, 32, 64)),
        Arguments.of("slow", List.of(1_000, 4_000, 1_000, 999), List.of(8, 8, 8, 8)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("costs")
  void jobsGrowWithQuickRounds(String name, List<Integer> costsMs, List<Integer> expected) {
    List<Job> waiting = jobs(1_000, 0);
    List<Integer> sizes = new ArrayList<>();
    for (int costMs : costsMs) {
      sizes.add(start.next(waiting).size());
      start.roundTook(costMs, true);
    }
    assertThat(sizes).isEqualTo(expected);
  }

  @Test
  void theMostUrgentAreFirst() {
    assertThat(start.next(jobs(50, 10))).allMatch(j -> j.spec.urgency() == Urgency.URGENT);
  }

  @Test
  void allJobsAreConsideredForGoodOnceARoundOverAllWasQuick() {
    start.takenOver();
    start.roundTook(1_000, false);
    assertThat(start.next(jobs(60, 0))).hasSize(8);
    start.roundTook(999, false);
    assertThat(start.next(jobs(60, 0))).hasSize(60);
    start.roundTook(5_000, false);
    assertThat(start.next(jobs(60, 0))).hasSize(60);
  }

  /** Rounds that never grow leave jobs waiting beside room for as long as rounds are slow. */
  @Test
  void allJobsAreConsideredSomeTimeAfterTheTakeoverHoweverSlowRoundsAre() {
    start.takenOver();
    start.roundTook(5_000, true);
    loop.nowMs += 14_999;
    assertThat(start.next(jobs(60, 0))).hasSize(8);
    loop.nowMs += 1;
    assertThat(start.next(jobs(60, 0))).hasSize(60);
  }
}
