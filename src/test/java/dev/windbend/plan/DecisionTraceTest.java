package dev.windbend.plan;

import static dev.windbend.plan.DecisionTrace.Obstacle.EXTENSION_COST;
import static dev.windbend.plan.DecisionTrace.Obstacle.MACHINE_WITH_IMAGE_PREFERRED;
import static dev.windbend.plan.DecisionTrace.Obstacle.PREEMPTION_LOSS;
import static dev.windbend.plan.DecisionTrace.Obstacle.QUOTA;
import static dev.windbend.plan.DecisionTrace.Obstacle.RESERVED_AHEAD;
import static dev.windbend.plan.DecisionTrace.Outlook.NEW_MACHINE;
import static dev.windbend.plan.DecisionTrace.Outlook.NOTHING_IN_TIME;
import static dev.windbend.plan.DecisionTrace.Outlook.POSTPONED;
import static dev.windbend.plan.DecisionTrace.Outlook.SOON_FREE_MACHINE;
import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.plan.DecisionTrace.LeftWaiting;
import dev.windbend.plan.DecisionTrace.Obstacle;
import dev.windbend.plan.DecisionTrace.Outlook;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * The planner records why it left a task waiting, and makes the same decision with and without a
 * trace.
 */
class DecisionTraceTest extends PlannerFixture {
  private static final Set<Obstacle> NO_OBSTACLES = EnumSet.noneOf(Obstacle.class);

  private void assertLeftWaiting(int job, Set<Obstacle> obstacles, Outlook outlook) {
    DecisionTrace trace = DecisionTrace.recording();
    SchedulingDecision decision = Planner.plan(snapshot(), trace);
    assertThat(decision).isEqualTo(plan());
    List<LeftWaiting> left = trace.leftWaiting(snapshot(), decision);
    assertThat(left)
        .filteredOn(waiting -> waiting.job() == job)
        .containsExactly(new LeftWaiting(job, obstacles, EnumSet.of(outlook)));
    assertThat(DecisionTrace.NONE.leftWaiting(snapshot(), decision)).isEmpty();
  }

  @Test
  void recordsOutlookWhenNoCapacityIsFree() {
    job(2, 4, 1, 10, 80);
    assertLeftWaiting(0, NO_OBSTACLES, POSTPONED);
    jobs.clear();
    job(2, 4, 1, 10, 15);
    assertLeftWaiting(0, NO_OBSTACLES, NEW_MACHINE);
    offers.clear();
    assertLeftWaiting(0, NO_OBSTACLES, NOTHING_IN_TIME);
    machine(0, true, 0, running(4, 5, 2, 0));
    assertLeftWaiting(0, NO_OBSTACLES, SOON_FREE_MACHINE);
  }

  @Test
  void recordsQuotaWhenTeamQuotaIsExhausted() {
    job(2, 4, 3, 10, 60);
    maxCores = 8;
    machine(0, true, 8);
    DecisionTrace trace = DecisionTrace.recording();
    SchedulingDecision decision = Planner.plan(snapshot(), trace);
    assertThat(trace.leftWaiting(snapshot(), decision))
        .containsExactly(new LeftWaiting(0, EnumSet.of(QUOTA), EnumSet.noneOf(Outlook.class)));
  }

  /**
   * Half of the machine is free; the whole machine is reserved from the time when the other half
   * becomes free.
   */
  @Test
  void recordsReservedAheadWhenFreeCapacityIsReservedLater() {
    offers.clear();
    job(0, 8, 1, 10, 20);
    job(1, 4, 1, 6, 6);
    machine(0, true, 4, running(4, 5, 2, -1));
    assertLeftWaiting(1, EnumSet.of(RESERVED_AHEAD), NOTHING_IN_TIME);
  }

  @Test
  void recordsExtensionCostWhenNewMachineIsCheaper() {
    job(2, 4, 1, 60, 95);
    machinePaidFor(10, 0, false, 8);
    assertLeftWaiting(0, EnumSet.of(EXTENSION_COST), NEW_MACHINE);
  }

  @Test
  void recordsPreemptionLossWhenMoreWorkWouldBeLost() {
    offers.clear();
    job(1, 8, 1, 10, 12);
    machine(0, true, 0, running(8, 90, 2, 11));
    assertLeftWaiting(0, EnumSet.of(PREEMPTION_LOSS), NOTHING_IN_TIME);
  }

  @Test
  void recordsPreferredMachineWhenImageIsPresentThere() {
    job(
        builder -> {
          builder.imageGb = 9;
          builder.estimatedRunTimeMs = 10_000;
          builder.startByMs = NOW + 5_000;
        });
    machine(0, true, 0, running(8, 2, 2, -1));
    DecisionTrace trace = DecisionTrace.recording();
    SchedulingDecision decision = Planner.plan(snapshot(), trace);
    assertThat(trace.leftWaiting(snapshot(), decision))
        .containsExactly(
            new LeftWaiting(
                0, EnumSet.of(MACHINE_WITH_IMAGE_PREFERRED), EnumSet.noneOf(Outlook.class)));
  }
}
