package dev.windbend.plan;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** In which order jobs are served, where their tasks go, and what makes way for them. */
class PlannerTest extends PlannerFixture {
  @Test
  void takesIdleCapacityFirstAndScalesOutByNothing() {
    job(2, 4, 2, 30, 40);
    machine(0, true, 8);
    SchedulingDecision w = plan();
    assertThat(w.placements()).hasSize(2);
    assertThat(w.scaleOuts()).isEmpty();
  }

  @Test
  void prefersTheTighterFit() {
    job(2, 2, 1, 30, 40);
    machine(0, true, 8);
    machine(0, true, 2, running(6, 10, 2, 5));
    assertThat(plan().placements()).containsExactly(new SchedulingDecision.PlacedTask(0, 1));
  }

  @Test
  void keepsTheTeamsQuotaWithWhatIsNotProvedGone() {
    maxCores = 10;
    usedCores = 4;
    job(2, 4, 3, 20, 30);
    machine(0, true, 8);
    assertThat(plan().placements()).hasSize(1);
  }

  @Test
  void preemptsLowerWorkOnlyIfItLosesLessThanItGains() {
    job(1, 4, 1, 20, 60);
    machine(0, true, 0, running(4, 90, 2, 30), running(4, 90, 2, 5));
    SchedulingDecision w = plan();
    assertThat(w.preemptions()).containsExactly(new SchedulingDecision.PreemptedTask(0, 1));
    assertThat(w.placements()).containsExactly(new SchedulingDecision.PlacedTask(0, 0));
  }

  @ParameterizedTest(name = "rank {0}, loses {1} s, free in {2} s")
  @CsvSource({"2,5,90", "1,30,90", "1,5,2"})
  void preemptsNothingOtherwise(int rank, long lost, long freeIn) {
    job(rank, 8, 1, 20, 60);
    machine(0, true, 0, running(8, freeIn, 2, lost));
    assertThat(plan().preemptions()).isEmpty();
  }

  /** What it would lose there is the same; only one reports at once. */
  @Test
  void preemptsLowerWorkWhereItIsHeardSoonest() {
    job(1, 8, 1, 20, 60);
    nextResponseMs = 4_000;
    machine(0, true, 0, running(8, 90, 2, 5));
    nextResponseMs = 100;
    machine(0, true, 0, running(8, 90, 2, 5));
    assertThat(plan().preemptions()).containsExactly(new SchedulingDecision.PreemptedTask(1, 0));
  }

  @ParameterizedTest(name = "free in {0} s, to start within {1} s: {2} preempted")
  @CsvSource({"2,3,0", "2,1,1", "2,-5,0", "5,-5,1"})
  void waitsForCapacityOnlyWhileTheTimeToStartByIsKept(long freeInS, long startInS, int preempted) {
    job(
        d -> {
          d.rank = 1;
          d.resources = WHOLE_MACHINE;
          d.estimatedRunTimeMs = 20_000;
          d.dueMs = NOW + 60_000;
          d.startByMs = NOW + 1_000 * startInS;
        });
    machine(0, true, 0, running(8, freeInS, 2, 5));
    assertThat(plan().preemptions()).hasSize(preempted);
  }

  @Test
  void placesOnlyWhereTheJobAllows() {
    job(d -> d.zone = 1);
    job(d -> d.spot = false);
    job(d -> d.types = new boolean[] {false});
    job(
        d -> {
          d.colocated = true;
          d.tasks = 2;
          d.placedPerZone = new int[] {0, 1};
        });
    machine(0, true, 8);
    machine(1, true, 8);
    machine(0, false, 8);
    assertThat(plan().placements())
        .containsExactlyInAnyOrder(
            new SchedulingDecision.PlacedTask(0, 1),
            new SchedulingDecision.PlacedTask(1, 2),
            new SchedulingDecision.PlacedTask(3, 1));
  }

  @Test
  void spreadsAtMostHalfRoundedUpOverOneZone() {
    job(
        d -> {
          d.spread = true;
          d.tasks = 5;
          d.waiting = 5;
        });
    machine(0, true, 8);
    offers.clear();
    assertThat(plan().placements()).hasSize(3);
  }

  private void jobOfAge(int rank, long ageS, boolean begun, int tasks) {
    job(
        d -> {
          d.rank = rank;
          d.resources = new Resources(8, 0, 1);
          d.tasks = tasks;
          d.waiting = tasks;
          d.estimatedRunTimeMs = 60_000;
          d.dueMs = NOW - 1;
          d.unattainable = true;
          d.ageMs = ageS * 1000;
          d.everStarted = begun;
        });
  }

  @ParameterizedTest(name = "age {0} s, begun {1}, the long overdue first {2}: task of {3}")
  @CsvSource({
    // Least work first: the small urgent one, unless the large one has to begin or is long overdue.
    "119,false,false,1",
    "120,false,false,0",
    "230,true,false,1",
    "230,true,true,1",
    "240,true,true,0",
    "300,true,false,1",
  })
  void noJobWaitsForEver(long age, boolean begun, boolean first, int served) {
    jobOfAge(2, age, begun, 16);
    jobOfAge(1, 5, false, 1);
    offers.clear();
    oldestFirst = first;
    machine(0, true, 8);
    assertThat(plan().placements()).containsExactly(new SchedulingDecision.PlacedTask(served, 0));
  }

  @Test
  void aJobThatHasToBeginTakesAnEighthAtFirst() {
    jobOfAge(2, 200, false, 16);
    jobOfAge(1, 5, false, 1);
    offers.clear();
    for (int i = 0; i < 4; i++) {
      machine(0, true, 8);
    }
    assertThat(plan().placements().stream().map(SchedulingDecision.PlacedTask::job))
        .containsExactly(0, 0, 1, 0);
  }

  @ParameterizedTest(name = "image at hand in {0} s, an early start counts {1}: placed {2}")
  @CsvSource({"2,true,0", "2,false,1", "9,true,1"})
  void whereAnEarlyStartCountsAMachineWithTheImageIsReserved(
      long freeIn, boolean counts, int placed) {
    job(
        d -> {
          d.resources = new Resources(8, 0, 1);
          d.imageGb = 8;
          d.estimatedRunTimeMs = 10_000;
          d.startByMs = counts ? NOW + 5_000 : 0;
        });
    machine(0, true, 0, running(8, freeIn, 2, 5));
    machine(0, true, 8);
    machines.get(1).images().clear();
    assertThat(plan().placements()).hasSize(placed);
  }

  @Test
  void takesExpensiveCapacityLast() {
    job(2, 4, 1, 30, 40);
    machine(0, false, 8);
    machine(0, true, 8);
    assertThat(plan().placements()).containsExactly(new SchedulingDecision.PlacedTask(0, 1));
  }

  @Test
  void takesMachinesThatHearItAtOnceFirst() {
    job(2, 4, 1, 30, 40);
    machine(0, true, 8);
    MachineCapacity machine = machines.remove(0);
    for (long hears : new long[] {5_000, 0}) {
      machines.add(
          new MachineCapacity(
              machine.attributes(),
              machine.up(),
              hears,
              machine.readyMs(),
              machine.free(),
              machine.lifetime(),
              machine.images(),
              machine.running()));
    }
    assertThat(plan().placements()).containsExactly(new SchedulingDecision.PlacedTask(0, 1));
  }

  /** What a cycle costs goes by machines and jobs, not by tasks. */
  @Test
  void examinesAMachineOnceForAJobAndNotOnceForATask() {
    int machines = 400;
    int jobs = 50;
    int tasks = 1_000;
    for (int i = 0; i < machines; i++) {
      machine(i % 2, true, 0, running(4, 10 + i % 60, 2, 5), running(4, 20 + i % 70, 2, 5));
    }
    offers.clear();
    for (int j = 0; j < jobs; j++) {
      job(2, 4, tasks, 30, 20);
    }
    SchedulingDecision w = plan();
    assertThat(w.placements()).isEmpty();
    assertThat(w.machinesExamined()).isLessThan(3 * machines * jobs).isLessThan(tasks * jobs * 2);
  }

  /** Neither the price of going on beyond a paid block nor more urgent work keeps it waiting. */
  @ParameterizedTest(name = "starved {0}: {1} of its 3 tasks placed")
  @CsvSource({"false,0", "true,1"})
  void oneTaskOfAStarvedJobGoesFirst(boolean starved, long placed) {
    machine(0, false, 8);
    job(
        d -> {
          d.rank = 3;
          d.resources = new Resources(8, 0, 1);
          d.tasks = 3;
          d.waiting = 3;
          d.estimatedRunTimeMs = 5_000_000;
          d.dueMs = NOW + 6_000_000;
          d.starved = starved;
        });
    job(0, 8, 1, 10, 60);
    assertThat(plan().placements().stream().filter(p -> p.job() == 0).count()).isEqualTo(placed);
  }

  /** Jobs in the order in which they get the one core that is left, least work and age alike. */
  @ParameterizedTest(name = "displaced {0} and {1}, due in {2} and {3} s: job {4} is first")
  @CsvSource({
    "false, true, 30, 90, 1",
    "true, false, 90, 30, 0",
    "true, true, 90, 30, 1",
    "true, true, 30, 90, 0",
    "false, false, 90, 30, 0"
  })
  void displacedWorkGoesFirstWithinItsRankAndByDueTime(
      boolean first, boolean second, long firstDueS, long secondDueS, int placed) {
    machine(0, true, 1);
    job(
        d -> {
          d.displaced = first;
          d.dueMs = NOW + 1_000 * firstDueS;
        });
    job(
        d -> {
          d.displaced = second;
          d.dueMs = NOW + 1_000 * secondDueS;
        });
    assertThat(plan().placements())
        .extracting(SchedulingDecision.PlacedTask::job)
        .containsExactly(placed);
  }
}
