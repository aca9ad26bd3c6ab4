package dev.windbend.plan;

import static org.assertj.core.api.Assertions.assertThat;

import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Conditions under which the planner waits, queues, scales out and scales in. */
class PlannerScalingTest extends PlannerFixture {
  @ParameterizedTest(name = "estimate {0} s, due in {1} s: {2} requested")
  @CsvSource({
    // slack = due - estimate - boot time of 30 s; waits while the slack exceeds estimate + cycle
    // period of 10 s
    "20,81,0",
    "20,80,1",
    "20,40,1",
    "100,240,1",
    "100,241,0"
  })
  void waitsWhileSlackAllows(long estimate, long due, int requested) {
    job(2, 4, 1, estimate, due);
    assertThat(
            plan().scaleOuts().stream().mapToInt(SchedulingDecision.RequestedMachines::count).sum())
        .isEqualTo(requested);
  }

  @ParameterizedTest(name = "free in {0} s, due in {1} s: {2} requested")
  @CsvSource({"20,30,0", "29,30,0", "40,59,1", "40,60,0"})
  void queuesForMachineFreeInTimeElseScalesOut(long freeIn, long due, int requested) {
    job(2, 8, 1, 20, due);
    machine(0, true, 0, running(8, freeIn, 2, 5));
    assertThat(
            plan().scaleOuts().stream().mapToInt(SchedulingDecision.RequestedMachines::count).sum())
        .isEqualTo(requested);
  }

  @Test
  void reservesSoonFreeMachineForOneTaskOnly() {
    job(2, 8, 2, 20, 30);
    machine(0, true, 0, running(8, 20, 2, 5));
    assertThat(plan().scaleOuts()).containsExactly(new SchedulingDecision.RequestedMachines(0, 1));
  }

  @Test
  void packsTasksOnCheapestNewMachines() {
    job(2, 4, 5, 20, 30);
    assertThat(plan().scaleOuts()).containsExactly(new SchedulingDecision.RequestedMachines(0, 3));
  }

  @Test
  void requestsOnDemandMachineIfNoSpotInstanceIsOffered() {
    offers.remove(0);
    job(2, 4, 1, 20, 30);
    assertThat(plan().scaleOuts()).containsExactly(new SchedulingDecision.RequestedMachines(0, 1));
  }

  @Test
  void scalesOutForJobThatMustStartDespiteSlack() {
    job(
        builder -> {
          builder.resources = Resources.ofTask(8, 0, 1);
          builder.dueMs = NOW + 900_000;
          builder.ageMs = 120_000;
        });
    assertThat(plan().scaleOuts()).hasSize(1);
  }

  @ParameterizedTest(name = "guaranteed {0}, due in {1} s: {2} requested")
  @CsvSource({"false,900,0", "true,900,1", "false,70,0", "true,70,1"})
  void scalesOutForGuaranteedJobInsteadOfWaiting(boolean guaranteed, long due, int requested) {
    job(
        builder -> {
          builder.resources = Resources.ofTask(8, 0, 1);
          builder.estimatedRunTimeMs = 10_000;
          builder.dueMs = NOW + due * 1000;
          builder.guaranteed = guaranteed;
        });
    machine(0, true, 0, running(8, 40, 2, 5));
    assertThat(
            plan().scaleOuts().stream().mapToInt(SchedulingDecision.RequestedMachines::count).sum())
        .isEqualTo(requested);
  }

  @Test
  void requestsMachinesInZoneWithFewerMachines() {
    offers.add(offer(1, true));
    job(2, 8, 4, 20, 30);
    machine(0, true, 0, running(8, 900, 2, 5));
    assertThat(plan().scaleOuts()).containsExactly(new SchedulingDecision.RequestedMachines(2, 4));
  }

  @Test
  void releasesIdleMachineAtEndOfPaidBlock() {
    machine(0, true, 8);
    machines.add(
        new MachineCapacity(
            attributes(0, true),
            true,
            0,
            0,
            WHOLE_MACHINE,
            new MachineCapacity.Lifetime(true, NOW - 1, NOW),
            new IntOpenHashSet(),
            List.of()));
    SchedulingDecision decision = plan();
    assertThat(decision.scaleIns()).containsExactly(1);
    assertThat(decision.idleMachines()).containsExactly(0, 1);
  }

  @ParameterizedTest(name = "reserve of {0} cores: machines {1} released")
  @CsvSource({"24,''", "23,''", "16,1", "9,1", "8,1 0", "0,1 0 2"})
  void releasesMostExpensiveIdleMachinesBeyondReserveFirst(double reservedCores, String released) {
    reserveCores = reservedCores;
    machine(0, true, 8);
    machine(0, false, 8);
    machine(0, true, 8);
    assertThat(plan().scaleIns().stream().map(String::valueOf).collect(Collectors.joining(" ")))
        .isEqualTo(released);
  }
}
