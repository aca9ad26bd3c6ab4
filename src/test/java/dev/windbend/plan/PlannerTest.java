package dev.windbend.plan;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Order in which jobs are served, placement of their tasks, and preemption for them. */
class PlannerTest extends PlannerFixture {
  @Test
  void usesIdleCapacityWithoutScalingOut() {
    job(2, 4, 2, 30, 40);
    machine(0, true, 8);
    SchedulingDecision decision = plan();
    assertThat(decision.placements()).hasSize(2);
    assertThat(decision.scaleOuts()).isEmpty();
  }

  private void tinyTasks(int rank, int count) {
    job(
        builder -> {
          builder.rank = rank;
          builder.resources = Resources.ofSmallTask(0.001, 0.01);
          builder.tasks = count;
          builder.waiting = count;
          builder.estimatedRunTimeMs = 30_000;
          builder.dueMs = NOW + 40_000;
        });
  }

  /** Guards against more tasks on a machine than its worker can list in a heartbeat. */
  @Test
  void placesOneTaskPerTaskSlot() {
    taskSlots = 30;
    tinyTasks(2, 100);
    machine(0, true, 8);
    machine(1, true, 8);
    assertThat(plan().placements()).hasSize(60);
  }

  /** Guards against too few new machines for tasks that fill the task slots before the cores. */
  @Test
  void requestsMachinesForTasksWithoutTaskSlots() {
    tinyTasks(2, 3 * SMALL_TASK_SLOTS + 1);
    assertThat(plan().scaleOuts()).containsExactly(new SchedulingDecision.RequestedMachines(0, 4));
  }

  /** Guards against small tasks that take all slots, so that free cores are of no use to others. */
  @Test
  void keepsTaskSlotsForLargerTasks() {
    smallTaskSlots = 30;
    tinyTasks(1, 100);
    job(2, 4, 1, 30, 40);
    machine(0, true, 8);
    assertThat(plan().placements()).hasSize(31).contains(new SchedulingDecision.PlacedTask(1, 0));
  }

  /** Guards against small tasks of a higher priority that wait for those of a lower one. */
  @Test
  void preemptsSmallTaskForSmallTask() {
    smallTaskSlots = 0;
    tinyTasks(1, 1);
    RunningTask lower = new RunningTask(NOW + 90_000, Resources.ofSmallTask(0.001, 0.01), 2, 5_000);
    machine(0, true, 7.9, lower);
    assertThat(plan().preemptions()).hasSize(1);
    assertThat(plan().placements()).hasSize(1);
  }

  /** Guards against a start that takes the slot of a task whose exit is not acknowledged yet. */
  @ParameterizedTest(name = "{0} free slots: {1} preempted")
  @CsvSource({"0, 0", "1, 1"})
  void preemptsOnlyBesideFreeTaskSlot(int freeSlots, int preempted) {
    taskSlots = freeSlots;
    job(1, 4, 1, 20, 60);
    machine(0, true, 0, running(4, 90, 2, 5), running(4, 90, 2, 5));
    assertThat(plan().preemptions()).hasSize(preempted);
    assertThat(plan().placements()).hasSize(preempted);
  }

  @Test
  void prefersTighterFit() {
    job(2, 2, 1, 30, 40);
    machine(0, true, 8);
    machine(0, true, 2, running(6, 10, 2, 5));
    assertThat(plan().placements()).containsExactly(new SchedulingDecision.PlacedTask(0, 1));
  }

  @Test
  void countsUsedCoresTowardsTeamQuota() {
    maxCores = 10;
    usedCores = 4;
    job(2, 4, 3, 20, 30);
    machine(0, true, 8);
    assertThat(plan().placements()).hasSize(1);
  }

  @Test
  void preemptsLowerPriorityTaskThatLosesLeastWork() {
    job(1, 4, 1, 20, 60);
    machine(0, true, 0, running(4, 90, 2, 30), running(4, 90, 2, 5));
    SchedulingDecision decision = plan();
    assertThat(decision.preemptions()).containsExactly(new SchedulingDecision.PreemptedTask(0, 1));
    assertThat(decision.placements()).containsExactly(new SchedulingDecision.PlacedTask(0, 0));
  }

  @ParameterizedTest(name = "rank {0}, {1} s of run time lost, free in {2} s")
  @CsvSource({"2,5,90", "1,30,90", "1,5,2"})
  void preemptsNothingForSamePriorityHighLossOrSoonFreeCapacity(int rank, long lost, long freeIn) {
    job(rank, 8, 1, 20, 60);
    machine(0, true, 0, running(8, freeIn, 2, lost));
    assertThat(plan().preemptions()).isEmpty();
  }

  /** Both machines would lose the same work; the next heartbeat of the second is due sooner. */
  @Test
  void preemptsOnMachineWithEarliestResponse() {
    job(1, 8, 1, 20, 60);
    nextResponseMs = 4_000;
    machine(0, true, 0, running(8, 90, 2, 5));
    nextResponseMs = 100;
    machine(0, true, 0, running(8, 90, 2, 5));
    assertThat(plan().preemptions()).containsExactly(new SchedulingDecision.PreemptedTask(1, 0));
  }

  @ParameterizedTest(name = "free in {0} s, to start within {1} s: {2} preempted")
  @CsvSource({"2,3,0", "2,1,1", "2,-5,0", "5,-5,1"})
  void waitsForCapacityOnlyIfStartTimeIsMet(long freeInS, long startInS, int preempted) {
    job(
        builder -> {
          builder.rank = 1;
          builder.resources = WHOLE_MACHINE;
          builder.estimatedRunTimeMs = 20_000;
          builder.dueMs = NOW + 60_000;
          builder.startByMs = NOW + 1_000 * startInS;
        });
    machine(0, true, 0, running(8, freeInS, 2, 5));
    assertThat(plan().preemptions()).hasSize(preempted);
  }

  @Test
  void placesOnlyOnMachinesThatConstraintsAllow() {
    job(builder -> builder.zone = 1);
    job(builder -> builder.spot = false);
    job(builder -> builder.types = new boolean[] {false});
    job(
        builder -> {
          builder.colocated = true;
          builder.tasks = 2;
          builder.placedPerZone = new int[] {0, 1};
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
  void placesAtMostHalfOfSpreadTasksInOneZone() {
    job(
        builder -> {
          builder.spread = true;
          builder.tasks = 5;
          builder.waiting = 5;
        });
    machine(0, true, 8);
    offers.clear();
    assertThat(plan().placements()).hasSize(3);
  }

  private void addJobOfAge(int rank, long ageS, boolean everStarted, int tasks) {
    job(
        builder -> {
          builder.rank = rank;
          builder.resources = Resources.ofTask(8, 0, 1);
          builder.tasks = tasks;
          builder.waiting = tasks;
          builder.estimatedRunTimeMs = 60_000;
          builder.dueMs = NOW - 1;
          builder.unattainable = true;
          builder.ageMs = ageS * 1000;
          builder.everStarted = everStarted;
        });
  }

  @ParameterizedTest(name = "age {0} s, ever started {1}, oldest first {2}: places task of job {3}")
  @CsvSource({
    // The job with less work and higher priority is first, unless the large job must start or is
    // long-waiting.
    "119,false,false,1",
    "120,false,false,0",
    "230,true,false,1",
    "230,true,true,1",
    "240,true,true,0",
    "300,true,false,1",
  })
  void servesJobThatMustStartOrIsLongWaitingFirst(
      long age, boolean everStarted, boolean serveOldestFirst, int served) {
    addJobOfAge(2, age, everStarted, 16);
    addJobOfAge(1, 5, false, 1);
    offers.clear();
    oldestFirst = serveOldestFirst;
    machine(0, true, 8);
    assertThat(plan().placements()).containsExactly(new SchedulingDecision.PlacedTask(served, 0));
  }

  @Test
  void placesOneEighthOfJobThatMustStartFirst() {
    addJobOfAge(2, 200, false, 16);
    addJobOfAge(1, 5, false, 1);
    offers.clear();
    for (int i = 0; i < 4; i++) {
      machine(0, true, 8);
    }
    assertThat(plan().placements().stream().map(SchedulingDecision.PlacedTask::job))
        .containsExactly(0, 0, 1, 0);
  }

  @ParameterizedTest(name = "machine with image free in {0} s, early start counts {1}: placed {2}")
  @CsvSource({"2,true,0", "2,false,1", "9,true,1"})
  void reservesMachineWithImageIfEarlyStartCounts(
      long freeIn, boolean earlyStartCounts, int placed) {
    job(
        builder -> {
          builder.resources = Resources.ofTask(8, 0, 1);
          builder.imageGb = 8;
          builder.estimatedRunTimeMs = 10_000;
          builder.startByMs = earlyStartCounts ? NOW + 5_000 : 0;
        });
    machine(0, true, 0, running(8, freeIn, 2, 5));
    machine(0, true, 8);
    machines.get(1).images().clear();
    assertThat(plan().placements()).hasSize(placed);
  }

  @Test
  void usesExpensiveMachineLast() {
    job(2, 4, 1, 30, 40);
    machine(0, false, 8);
    machine(0, true, 8);
    assertThat(plan().placements()).containsExactly(new SchedulingDecision.PlacedTask(0, 1));
  }

  @Test
  void prefersMachineWithEarliestResponse() {
    job(2, 4, 1, 30, 40);
    machine(0, true, 8);
    MachineCapacity machine = machines.remove(0);
    for (long responseMs : new long[] {5_000, 0}) {
      machines.add(
          new MachineCapacity(
              machine.attributes(),
              machine.up(),
              responseMs,
              machine.readyMs(),
              machine.free(),
              machine.lifetime(),
              machine.images(),
              machine.running()));
    }
    assertThat(plan().placements()).containsExactly(new SchedulingDecision.PlacedTask(0, 1));
  }

  /**
   * The cost of a cycle depends on the number of machines and jobs, and is independent of the
   * number of tasks.
   */
  @Test
  void examinesMachineOncePerJobInsteadOfOncePerTask() {
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
    SchedulingDecision decision = plan();
    assertThat(decision.placements()).isEmpty();
    assertThat(decision.machinesExamined())
        .isLessThan(3 * machines * jobs)
        .isLessThan(tasks * jobs * 2);
  }

  /**
   * One task of a starved job is placed despite the cost of extending the paid block and despite a
   * job of higher priority.
   */
  @ParameterizedTest(name = "starved {0}: {1} of its 3 tasks placed")
  @CsvSource({"false,0", "true,1"})
  void placesOneTaskOfStarvedJobFirst(boolean starved, long placed) {
    machine(0, false, 8);
    job(
        builder -> {
          builder.rank = 3;
          builder.resources = Resources.ofTask(8, 0, 1);
          builder.tasks = 3;
          builder.waiting = 3;
          builder.estimatedRunTimeMs = 5_000_000;
          builder.dueMs = NOW + 6_000_000;
          builder.starved = starved;
        });
    job(0, 8, 1, 10, 60);
    assertThat(plan().placements().stream().filter(placement -> placement.job() == 0).count())
        .isEqualTo(placed);
  }

  /** Two jobs of the same age and waiting work compete for the only free core. */
  @ParameterizedTest(name = "displaced {0} and {1}, due in {2} and {3} s: job {4} is first")
  @CsvSource({
    "false, true, 30, 90, 1",
    "true, false, 90, 30, 0",
    "true, true, 90, 30, 1",
    "true, true, 30, 90, 0",
    "false, false, 90, 30, 0"
  })
  void placesDisplacedJobFirstWithinRankAndByDueTime(
      boolean first, boolean second, long firstDueS, long secondDueS, int placed) {
    machine(0, true, 1);
    job(
        builder -> {
          builder.displaced = first;
          builder.dueMs = NOW + 1_000 * firstDueS;
        });
    job(
        builder -> {
          builder.displaced = second;
          builder.dueMs = NOW + 1_000 * secondDueS;
        });
    assertThat(plan().placements())
        .extracting(SchedulingDecision.PlacedTask::job)
        .containsExactly(placed);
  }
}
