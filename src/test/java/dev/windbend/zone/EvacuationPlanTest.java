package dev.windbend.zone;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.plan.MachineAttributes;
import dev.windbend.plan.MachineCapacity;
import dev.windbend.plan.PendingJob;
import dev.windbend.plan.Planner;
import dev.windbend.plan.Resources;
import dev.windbend.plan.SchedulingDecision;
import dev.windbend.plan.Snapshot;
import dev.windbend.zone.EvacuationPlan.LostMachine;
import dev.windbend.zone.EvacuationPlan.Task;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests which machines of a lost zone are scaled in, in which order, and that displaced tasks get
 * free capacity in other zones by priority.
 */
class EvacuationPlanTest {
  private static final long NOW = 1_000_000;
  private static final long BOOT_MS = 30_000;
  private static final int TASK_SLOTS = 500;
  private static final int SMALL_TASK_SLOTS = 400;

  private static LostMachine machine(String name, long leaseInMs, Task... tasks) {
    return new LostMachine(name, NOW + leaseInMs, List.of(tasks));
  }

  private static Task task(int rank, long dueInMs, long remainingMs, long unsavedMs) {
    return new Task(rank, NOW + dueInMs, remainingMs, unsavedMs, 1, false);
  }

  private static List<String> machinesToScaleIn(LostMachine... machines) {
    return EvacuationPlan.machinesToScaleIn(List.of(machines), BOOT_MS, NOW).stream()
        .map(LostMachine::machine)
        .toList();
  }

  @ParameterizedTest(
      name = "due in {0} ms, {1} ms remaining, {2} ms unsaved, lease ends in {3} ms: scaled in {4}")
  @CsvSource({
    "900000, 60000, 0, 20000, true", // no progress is lost by moving
    "900000, 60000, 19999, 20000, true",
    "900000, 60000, 20000, 20000, false", // the lost progress equals the cost of waiting
    "900000, 60000, 50000, 0, true", // the lease has ended
    "110000, 60000, 50000, 20000, false", // meets its deadline in either case
    "109999, 60000, 50000, 20000, true", // misses its deadline if moved at the lease's end
    "89999, 60000, 50000, 20000, false", // misses its deadline in either case
  })
  void scalesInMachineWhenWaitingCostsMoreThanLostProgress(
      long dueInMs, long remainingMs, long unsavedMs, long leaseInMs, boolean scaledIn) {
    assertThat(machinesToScaleIn(machine("m", leaseInMs, task(2, dueInMs, remainingMs, unsavedMs))))
        .hasSize(scaledIn ? 1 : 0);
  }

  @Test
  void keepsIdleMachinesAndZoneRestrictedTasksUntilLeaseEnd() {
    Task restrictedTask = new Task(0, NOW + 100_000, 60_000, 0, 1, true);
    assertThat(machinesToScaleIn(machine("bound", 20_000, restrictedTask), machine("idle", 20_000)))
        .isEmpty();
    assertThat(machinesToScaleIn(machine("idle", 0), machine("bound", 0, restrictedTask)))
        .containsExactly("bound", "idle");
  }

  @Test
  void ordersByPriorityThenDueTimeThenLatestStart() {
    assertThat(
            machinesToScaleIn(
                machine("a", 0),
                machine("b", 0, task(2, 50_000, 10_000, 0)),
                machine("c", 0, task(1, 90_000, 10_000, 0)),
                machine("d", 0, task(1, 90_000, 20_000, 0), task(2, 1, 1, 0)),
                machine("e", 0, task(1, 80_000, 10_000, 0)),
                machine("f", 0, task(0, 900_000, 10_000, 0))))
        .containsExactly("f", "e", "d", "c", "b", "a");
  }

  /** A displaced job and the resources that its waiting tasks require. */
  private record DisplacedJob(
      int rank, int cores, int waiting, long dueInMs, long estimatedRunTimeMs) {
    private PendingJob toPendingJob() {
      return new PendingJob(
          0,
          rank,
          new PendingJob.Requirements(Resources.ofTask(cores, 0, 1), 7, 0, estimatedRunTimeMs),
          new PendingJob.Constraints(null, -1, false, false, true, 0, new IntOpenHashSet()),
          new PendingJob.Progress(waiting, waiting, new int[2], 60_000, true, false, true),
          new PendingJob.Objectives(NOW + dueInMs, false, false, 0));
    }
  }

  @Provide
  Arbitrary<List<DisplacedJob>> displacedJobs() {
    return Combinators.combine(
            Arbitraries.integers().between(0, 3),
            Arbitraries.integers().between(1, 8),
            Arbitraries.integers().between(1, 6),
            Arbitraries.longs().between(-50_000, 300_000),
            Arbitraries.longs().between(1_000, 100_000))
        .as(DisplacedJob::new)
        .list()
        .ofMaxSize(12);
  }

  private static MachineCapacity machineWithFreeCores(int freeCores) {
    return new MachineCapacity(
        new MachineAttributes(0, 0, true, 1, 1),
        true,
        0,
        0,
        new Resources(freeCores, 0, 64, TASK_SLOTS, SMALL_TASK_SLOTS),
        new MachineCapacity.Lifetime(freeCores == 8, NOW + 600_000, NOW),
        new IntOpenHashSet(new int[] {7}),
        List.of());
  }

  /**
   * Guards against priority inversion: if a displaced task was placed, no displaced task of higher
   * priority that fits into the same resources is left waiting.
   */
  @Property(tries = 400)
  void neverPlacesDisplacedTaskWhereHigherPriorityTaskThatFitsIsWaiting(
      @ForAll("displacedJobs") List<DisplacedJob> jobs,
      @ForAll("freeCoreCounts") List<Integer> freeCores) {
    List<PendingJob> pending = jobs.stream().map(DisplacedJob::toPendingJob).toList();
    List<MachineCapacity> machines =
        freeCores.stream().map(EvacuationPlanTest::machineWithFreeCores).toList();
    SchedulingDecision decision =
        Planner.plan(
            new Snapshot(
                NOW,
                new Snapshot.Limits(10_000, 3_000, 0),
                false,
                0,
                List.of(new Snapshot.Team(1_000, 0, 0, 0)),
                pending,
                machines,
                List.of()));
    int[] waitingCounts = pending.stream().mapToInt(job -> job.progress().waiting()).toArray();
    decision.placements().forEach(placement -> waitingCounts[placement.job()]--);
    for (SchedulingDecision.PlacedTask placement : decision.placements()) {
      DisplacedJob placedJob = jobs.get(placement.job());
      for (int i = 0; i < jobs.size(); i++) {
        DisplacedJob waitingJob = jobs.get(i);
        boolean fits = waitingJob.cores() <= placedJob.cores();
        assertThat(waitingCounts[i] > 0 && waitingJob.rank() < placedJob.rank() && fits)
            .as("%s waits although %s is placed", waitingJob, placedJob)
            .isFalse();
      }
    }
  }

  @Provide
  Arbitrary<List<Integer>> freeCoreCounts() {
    return Arbitraries.integers().between(1, 8).list().ofMaxSize(6);
  }

  /** Half of 4,000 machines: ordering takes a single sort, independent of the number of tasks. */
  @Test
  void orders2000MachinesByPriority() {
    List<LostMachine> lost = new ArrayList<>();
    for (int i = 0; i < 2_000; i++) {
      lost.add(machine("m%04d".formatted(i), 0, task(i % 4, 1_000L * (i % 7), 10_000, 0)));
    }
    List<LostMachine> order = EvacuationPlan.machinesToScaleIn(lost, BOOT_MS, NOW);
    assertThat(order).hasSize(2_000);
    assertThat(order.stream().map(l -> l.tasks().get(0).rank())).isSorted();
  }
}
