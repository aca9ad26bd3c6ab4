package dev.windbend.plan;

import dev.windbend.plan.Snapshot.Team;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Builds snapshots for planner tests: one machine type of 8 cores, two zones, a boot time of 30 s.
 */
abstract class PlannerFixture {
  static final long NOW = 1_000_000;
  static final int TASK_SLOTS = 500;
  static final int SMALL_TASK_SLOTS = 400;
  static final Resources WHOLE_MACHINE = new Resources(8, 0, 32, TASK_SLOTS, SMALL_TASK_SLOTS);

  final List<PendingJob> jobs = new ArrayList<>();
  final List<MachineCapacity> machines = new ArrayList<>();
  final List<InstanceOffer> offers = new ArrayList<>(List.of(offer(0, true), offer(0, false)));
  double maxCores = 100;
  double usedCores = 0;
  boolean oldestFirst;
  double reserveCores = 1_000;
  long nextResponseMs;
  int taskSlots = TASK_SLOTS;
  int smallTaskSlots = SMALL_TASK_SLOTS;

  SchedulingDecision plan() {
    return Planner.plan(snapshot());
  }

  Snapshot snapshot() {
    return new Snapshot(
        NOW,
        new Snapshot.Limits(10_000, 3_000, 20),
        oldestFirst,
        reserveCores,
        List.of(new Team(maxCores, 0, usedCores, 0)),
        jobs,
        machines,
        offers);
  }

  /** Builder of a job with default values; times are in milliseconds. */
  static final class JobBuilder {
    int rank = 2;
    Resources resources = Resources.ofTask(1, 0, 1);
    boolean[] types;
    int zone = -1;
    boolean colocated;
    boolean spread;
    boolean spot = true;
    double imageGb = 1;
    int tasks = 1;
    int waiting = 1;
    int[] placedPerZone = new int[2];
    long estimatedRunTimeMs = 9;
    long dueMs = NOW + 30_000;
    boolean unattainable;
    boolean guaranteed;
    long startByMs;
    long ageMs;
    boolean everStarted;
    boolean starved;
    boolean displaced;

    PendingJob build() {
      return new PendingJob(
          0,
          rank,
          new PendingJob.Requirements(resources, 7, imageGb, estimatedRunTimeMs),
          new PendingJob.Constraints(types, zone, colocated, spread, spot, 0, new IntOpenHashSet()),
          new PendingJob.Progress(
              tasks, waiting, placedPerZone, ageMs, everStarted, starved, displaced),
          new PendingJob.Objectives(dueMs, unattainable, guaranteed, startByMs));
    }
  }

  static MachineAttributes attributes(int zone, boolean spot) {
    return new MachineAttributes(0, zone, spot, spot ? 1 : 2, 1);
  }

  static InstanceOffer offer(int zone, boolean spot) {
    return new InstanceOffer(attributes(zone, spot), WHOLE_MACHINE, 30_000);
  }

  void job(Consumer<JobBuilder> configuration) {
    JobBuilder builder = new JobBuilder();
    configuration.accept(builder);
    jobs.add(builder.build());
  }

  void job(int rank, double cores, int waiting, long estimatedRunTimeS, long dueInS) {
    job(
        builder -> {
          builder.rank = rank;
          builder.resources = Resources.ofTask(cores, 0, 1);
          builder.tasks = waiting;
          builder.waiting = waiting;
          builder.estimatedRunTimeMs = estimatedRunTimeS * 1000;
          builder.dueMs = NOW + dueInS * 1000;
        });
  }

  void machine(int zone, boolean spot, double free, RunningTask... running) {
    machinePaidFor(600, zone, spot, free, running);
  }

  void machinePaidFor(long paidS, int zone, boolean spot, double free, RunningTask... running) {
    machines.add(
        new MachineCapacity(
            attributes(zone, spot),
            true,
            nextResponseMs,
            0,
            new Resources(free, 0, 32, taskSlots, smallTaskSlots),
            new MachineCapacity.Lifetime(running.length == 0 && free == 8, NOW + 1000 * paidS, NOW),
            new IntOpenHashSet(new int[] {7}),
            List.of(running)));
  }

  static RunningTask running(double cores, long endInS, int rank, long lostS) {
    return new RunningTask(NOW + endInS * 1000, Resources.ofTask(cores, 0, 1), rank, lostS * 1000);
  }
}
