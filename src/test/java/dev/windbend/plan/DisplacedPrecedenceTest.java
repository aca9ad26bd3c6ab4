package dev.windbend.plan;

import static org.assertj.core.api.Assertions.assertThat;

import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.EnumSet;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Who gets room elsewhere of the jobs that lost machines with a zone: no priority inversion. */
class DisplacedPrecedenceTest extends PlannerFixture {
  /** A displaced job of one size in cores; its times are in milliseconds. */
  private void displaced(int rank, int cores, int waiting, long dueInMs, long estimateMs) {
    job(
        draft -> {
          draft.rank = rank;
          draft.resources = new Resources(cores, 0, 1);
          draft.tasks = waiting;
          draft.waiting = waiting;
          draft.dueMs = NOW + dueInMs;
          draft.estimatedRunTimeMs = estimateMs;
          draft.ageMs = 60_000;
          draft.everStarted = true;
          draft.displaced = true;
        });
  }

  private List<Integer> placedJobs() {
    return plan().placements().stream().map(SchedulingDecision.PlacedTask::job).sorted().toList();
  }

  /** Shrunk cases of the property in EvacuationPlanTest: rank/cores/waiting/due/estimate. */
  @ParameterizedTest(name = "{0} in rooms {1}: placed {2}")
  @CsvSource({
    "0/1/3/0/1000 0/2/1/2000/1000 1/1/1/0/1001 2/1/1/0/1000, 1 1 2, 0 0 0",
    "0/1/1/0/1000 0/4/1/2000/1000 1/1/1/0/1001 2/1/1/0/1000, 4, 0",
    "0/1/1/0/1000 0/1/1/2001/1001 0/6/1/2000/1000 1/1/1/0/1000, 6, 0",
    "0/1/1/0/1000 0/1/1/1/1000 0/1/1/1/1000 0/1/1/1/1000 0/2/1/2001/1001 0/3/1/2000/1000"
        + " 0/4/1/0/1000 0/4/1/0/1000 1/2/1/0/1000, 4 6, 0 1 2 3 6",
  })
  void noShorterLowerTaskIsBackfilledAheadOfAReservation(
      String jobs, String rooms, String expected) {
    offers.clear();
    for (String job : jobs.split(" ", -1)) {
      int[] values = Stream.of(job.split("/", -1)).mapToInt(Integer::parseInt).toArray();
      displaced(values[0], values[1], values[2], values[3], values[4]);
    }
    for (String room : rooms.split(" ", -1)) {
      machine(0, true, Integer.parseInt(room));
    }
    assertThat(placedJobs())
        .isEqualTo(Stream.of(expected.split(" ", -1)).map(Integer::valueOf).toList());
  }

  /** Half of the machine is free until the other half is and all of it is reserved. */
  private void halfAMachineFreeAheadOfAReservation() {
    offers.clear();
    displaced(0, 8, 1, 20_000, 10_000);
    machine(0, true, 4, running(4, 5, 2, -1));
  }

  @ParameterizedTest(name = "higher {0} cores, zone {1}, displaced {2}, hopeless {3}: {4} placed")
  @CsvSource({
    "4, -1, true, false, 0",
    "2, -1, true, false, 0", // fits into the room of the lower
    "5, -1, true, false, 1", // doesn't
    "4, 1, true, false, 1", // may not run there
    "4, -1, false, false, 1", // the definition is of displaced work
    "4, -1, true, true, 1", // beyond its time limits
  })
  void onlyWhatCouldTakeTheRoomHoldsALowerTaskBack(
      int cores, int zone, boolean isDisplaced, boolean hopeless, int placed) {
    halfAMachineFreeAheadOfAReservation();
    job(
        draft -> {
          draft.rank = 1;
          draft.resources = new Resources(cores, 0, 1);
          draft.zone = zone;
          draft.estimatedRunTimeMs = 6_000;
          draft.dueMs = NOW + 6_000;
          draft.displaced = isDisplaced;
          draft.unattainable = hopeless;
        });
    displaced(2, 4, 1, 4_000, 4_000);
    assertThat(placedJobs()).hasSize(placed);
  }

  @Test
  void theTraceNamesIt() {
    halfAMachineFreeAheadOfAReservation();
    displaced(1, 4, 1, 6_000, 6_000);
    displaced(2, 4, 1, 4_000, 4_000);
    DecisionTrace trace = DecisionTrace.recording();
    SchedulingDecision decision = Planner.plan(snapshot(), trace);
    assertThat(trace.leftWaiting(snapshot(), decision))
        .extracting(DecisionTrace.LeftWaiting::obstacles)
        .containsExactly(
            EnumSet.noneOf(DecisionTrace.Obstacle.class),
            EnumSet.of(DecisionTrace.Obstacle.RESERVED_AHEAD),
            EnumSet.of(DecisionTrace.Obstacle.HIGHER_DISPLACED_TASK));
  }

  /** A job over its team's limit doesn't wait for room. */
  @Test
  void aJobOverItsTeamsLimitHoldsNothingBack() {
    halfAMachineFreeAheadOfAReservation();
    displaced(1, 4, 1, 6_000, 6_000);
    displaced(2, 2, 1, 4_000, 4_000);
    maxCores = 10;
    assertThat(placedJobs()).containsExactly(2);
  }

  /** What starves goes first, as in the design: its task is placed before any is reserved. */
  @Test
  void aStarvedLowerTaskIsExempt() {
    halfAMachineFreeAheadOfAReservation();
    displaced(1, 4, 1, 6_000, 6_000);
    job(
        draft -> {
          draft.rank = 2;
          draft.resources = new Resources(4, 0, 1);
          draft.estimatedRunTimeMs = 4_000;
          draft.displaced = true;
          draft.starved = true;
        });
    assertThat(placedJobs()).containsExactly(2);
  }

  /** Cost: the longer paid block of a dear machine, or a new cheap one that has to boot. */
  @ParameterizedTest(name = "hopeless {0}: placed {1}")
  @CsvSource({"false, 0", "true, 1"})
  void noLowerTaskTakesAMachineThatIsTooDearForAHigherOne(boolean hopeless, int placed) {
    machinePaidFor(10, 0, false, 8);
    job(
        draft -> {
          draft.rank = 1;
          draft.resources = WHOLE_MACHINE;
          draft.estimatedRunTimeMs = 60_000;
          draft.dueMs = NOW + 95_000;
          draft.displaced = true;
          draft.unattainable = hopeless;
        });
    displaced(2, 8, 1, 10_000, 10_000);
    assertThat(placedJobs()).containsExactly(placed);
  }

  /** Image: a machine that has it and is free soon, or one that is free now and fetches it. */
  @Test
  void noLowerTaskTakesAMachineThatAHigherOnePassesOverForItsImage() {
    machine(0, true, 0, running(8, 2, 2, -1));
    machine(0, true, 8);
    machines.set(1, withoutImages(machines.get(1)));
    job(
        draft -> {
          draft.rank = 1;
          draft.resources = WHOLE_MACHINE;
          draft.imageGb = 9;
          draft.estimatedRunTimeMs = 10_000;
          draft.startByMs = NOW + 5_000;
          draft.displaced = true;
        });
    displaced(2, 8, 1, 20_000, 10_000);
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

  /** Preemption: the higher task would lose more work than it gains, the longer lower one not. */
  @ParameterizedTest(name = "higher {0} cores: {1} preempted")
  @CsvSource({"8, 0", "4, 0"})
  void noLowerTaskPreemptsForItselfWhereAHigherOneWaits(int cores, int preempted) {
    offers.clear();
    machine(0, true, 0, running(8, 90, 3, 20));
    displaced(1, cores, 1, 10_000, 10_000);
    displaced(2, 8, 1, 60_000, 60_000);
    SchedulingDecision decision = plan();
    assertThat(decision.preemptions()).hasSize(preempted);
    assertThat(decision.placements()).isEmpty();
  }
}
