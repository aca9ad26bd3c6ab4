package dev.windbend.plan;

import static org.assertj.core.api.Assertions.assertThat;

import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.EnumSet;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Displaced jobs, which lost machines in a zone failure, get capacity in other zones without
 * priority inversion.
 */
class DisplacedPrecedenceTest extends PlannerFixture {
  /** Adds a displaced job; its times are in milliseconds. */
  private void addDisplacedJob(
      int rank, int cores, int waiting, long dueInMs, long estimatedRunTimeMs) {
    job(
        builder -> {
          builder.rank = rank;
          builder.resources = Resources.ofTask(cores, 0, 1);
          builder.tasks = waiting;
          builder.waiting = waiting;
          builder.dueMs = NOW + dueInMs;
          builder.estimatedRunTimeMs = estimatedRunTimeMs;
          builder.ageMs = 60_000;
          builder.everStarted = true;
          builder.displaced = true;
        });
  }

  private List<Integer> placedJobs() {
    return plan().placements().stream().map(SchedulingDecision.PlacedTask::job).sorted().toList();
  }

  /**
   * Cases shrunk from failures of the property test in EvacuationPlanTest. Jobs are given as
   * rank/cores/waiting/due/estimate. A shorter task of lower priority must not be backfilled ahead
   * of a reservation.
   */
  @ParameterizedTest(name = "jobs {0}, free cores {1}: placed {2}")
  @CsvSource({
    "0/1/3/0/1000 0/2/1/2000/1000 1/1/1/0/1001 2/1/1/0/1000, 1 1 2, 0 0 0",
    "0/1/1/0/1000 0/4/1/2000/1000 1/1/1/0/1001 2/1/1/0/1000, 4, 0",
    "0/1/1/0/1000 0/1/1/2001/1001 0/6/1/2000/1000 1/1/1/0/1000, 6, 0",
    "0/1/1/0/1000 0/1/1/1/1000 0/1/1/1/1000 0/1/1/1/1000 0/2/1/2001/1001 0/3/1/2000/1000"
        + " 0/4/1/0/1000 0/4/1/0/1000 1/2/1/0/1000, 4 6, 0 1 2 3 6",
  })
  void doesNotBackfillLowerPriorityTaskAheadOfReservation(
      String jobs, String freeCores, String expected) {
    offers.clear();
    for (String job : jobs.split(" ", -1)) {
      int[] values = Stream.of(job.split("/", -1)).mapToInt(Integer::parseInt).toArray();
      addDisplacedJob(values[0], values[1], values[2], values[3], values[4]);
    }
    for (String cores : freeCores.split(" ", -1)) {
      machine(0, true, Integer.parseInt(cores));
    }
    assertThat(placedJobs())
        .isEqualTo(Stream.of(expected.split(" ", -1)).map(Integer::valueOf).toList());
  }

  /**
   * Adds a machine of which half is free until the other half becomes free, when a reservation for
   * the whole machine starts.
   */
  private void addHalfFreeMachineWithReservation() {
    offers.clear();
    addDisplacedJob(0, 8, 1, 20_000, 10_000);
    machine(0, true, 4, running(4, 5, 2, -1));
  }

  @ParameterizedTest(
      name =
          "higher-priority task: {0} cores, zone {1}, displaced {2}, unattainable {3}; {4} placed")
  @CsvSource({
    "4, -1, true, false, 0",
    "2, -1, true, false, 0", // fits into the capacity for the lower-priority task
    "5, -1, true, false, 1", // does not fit
    "4, 1, true, false, 1", // may not run in the zone of the machine
    "4, -1, false, false, 1", // priority inversion is defined for displaced jobs only
    "4, -1, true, true, 1", // can meet none of its time limits
  })
  void blocksLowerPriorityTaskOnlyIfHigherTaskCouldUseCapacity(
      int cores, int zone, boolean isDisplaced, boolean unattainable, int placed) {
    addHalfFreeMachineWithReservation();
    job(
        builder -> {
          builder.rank = 1;
          builder.resources = Resources.ofTask(cores, 0, 1);
          builder.zone = zone;
          builder.estimatedRunTimeMs = 6_000;
          builder.dueMs = NOW + 6_000;
          builder.displaced = isDisplaced;
          builder.unattainable = unattainable;
        });
    addDisplacedJob(2, 4, 1, 4_000, 4_000);
    assertThat(placedJobs()).hasSize(placed);
  }

  @Test
  void recordsHigherDisplacedTaskAsObstacle() {
    addHalfFreeMachineWithReservation();
    addDisplacedJob(1, 4, 1, 6_000, 6_000);
    addDisplacedJob(2, 4, 1, 4_000, 4_000);
    DecisionTrace trace = DecisionTrace.recording();
    SchedulingDecision decision = Planner.plan(snapshot(), trace);
    assertThat(trace.leftWaiting(snapshot(), decision))
        .extracting(DecisionTrace.LeftWaiting::obstacles)
        .containsExactly(
            EnumSet.noneOf(DecisionTrace.Obstacle.class),
            EnumSet.of(DecisionTrace.Obstacle.RESERVED_AHEAD),
            EnumSet.of(DecisionTrace.Obstacle.HIGHER_DISPLACED_TASK));
  }

  /** A job over its team's quota does not wait for capacity, so it blocks no other job. */
  @Test
  void placesLowerPriorityTaskIfHigherJobIsOverTeamQuota() {
    addHalfFreeMachineWithReservation();
    addDisplacedJob(1, 4, 1, 6_000, 6_000);
    addDisplacedJob(2, 2, 1, 4_000, 4_000);
    maxCores = 10;
    assertThat(placedJobs()).containsExactly(2);
  }

  /** One task of a starved job is placed before any reservation is made. */
  @Test
  void placesStarvedLowerPriorityTaskFirst() {
    addHalfFreeMachineWithReservation();
    addDisplacedJob(1, 4, 1, 6_000, 6_000);
    job(
        builder -> {
          builder.rank = 2;
          builder.resources = Resources.ofTask(4, 0, 1);
          builder.estimatedRunTimeMs = 4_000;
          builder.displaced = true;
          builder.starved = true;
        });
    assertThat(placedJobs()).containsExactly(2);
  }

  /**
   * The higher-priority job can extend the paid block of an expensive machine or request a cheap
   * new machine, which has to boot. A lower-priority task must not take the machine instead.
   */
  @ParameterizedTest(name = "deadline unattainable {0}: placed job {1}")
  @CsvSource({"false, 0", "true, 1"})
  void placesHigherPriorityTaskDespiteExtensionCost(boolean unattainable, int placed) {
    machinePaidFor(10, 0, false, 8);
    job(
        builder -> {
          builder.rank = 1;
          builder.resources = WHOLE_MACHINE;
          builder.estimatedRunTimeMs = 60_000;
          builder.dueMs = NOW + 95_000;
          builder.displaced = true;
          builder.unattainable = unattainable;
        });
    addDisplacedJob(2, 8, 1, 10_000, 10_000);
    assertThat(placedJobs()).containsExactly(placed);
  }

  /**
   * One machine has the image and becomes free soon; the other is free now and has to fetch the
   * image. If the higher-priority task waited for the first machine, a lower-priority task could
   * take the second.
   */
  @Test
  void placesHigherPriorityTaskWithoutWaitingForImage() {
    machine(0, true, 0, running(8, 2, 2, -1));
    machine(0, true, 8);
    machines.set(1, withoutImages(machines.get(1)));
    job(
        builder -> {
          builder.rank = 1;
          builder.resources = WHOLE_MACHINE;
          builder.imageGb = 9;
          builder.estimatedRunTimeMs = 10_000;
          builder.startByMs = NOW + 5_000;
          builder.displaced = true;
        });
    addDisplacedJob(2, 8, 1, 20_000, 10_000);
    assertThat(plan().placements()).containsExactly(new SchedulingDecision.PlacedTask(0, 1));
  }

  private static MachineCapacity withoutImages(MachineCapacity machine) {
    return new MachineCapacity(
        machine.attributes(),
        machine.up(),
        machine.nextResponseMs(),
        machine.readyMs(),
        machine.free(),
        machine.lifetime(),
        new IntOpenHashSet(),
        machine.running());
  }

  /**
   * Preemption loses more work than the higher-priority task gains, but less than the longer
   * lower-priority task gains.
   */
  @ParameterizedTest(name = "higher-priority task of {0} cores: {1} preempted")
  @CsvSource({"8, 0", "4, 0"})
  void lowerPriorityTaskDoesNotPreemptWhereHigherTaskWaits(int cores, int preempted) {
    offers.clear();
    machine(0, true, 0, running(8, 90, 3, 20));
    addDisplacedJob(1, cores, 1, 10_000, 10_000);
    addDisplacedJob(2, 8, 1, 60_000, 60_000);
    SchedulingDecision decision = plan();
    assertThat(decision.preemptions()).hasSize(preempted);
    assertThat(decision.placements()).isEmpty();
  }
}
