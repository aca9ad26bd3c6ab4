package dev.windbend.plan;

import static org.assertj.core.api.Assertions.assertThat;

import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against starvation of a job that competes with an endless stream of other tasks. Many
 * cycles are simulated in virtual time; the job must start within the time limit even if the tasks
 * of the stream are short.
 */
class StarvationTest {
  private static final long START_MS = 1_000_000;
  private static final long CYCLE_MS = 1_000;
  private static final long SIMULATED_MS = 600_000;

  /** Time limit for the start of the largest jobs. */
  private static final long MAX_START_DELAY_MS = 240_000;

  /** Same value as in StarvedJobs. */
  private static final long STARVED_AFTER_MS = 45_000;

  private static final int OLDEST_FIRST_EVERY = 4;
  private static final int CORES = 8;
  private static final int TASK_SLOTS = 500;
  private static final int SMALL_TASK_SLOTS = 400;
  private static final int IMAGE = 7;

  /** A stream of tasks that always exceeds the free capacity. */
  private record TaskStream(int cores, int rank, long estimatedRunTimeMs) {}

  /** A running task of a stream. */
  private record RunningStreamTask(long endMs, TaskStream stream, long startedMs) {}

  private final List<List<RunningStreamTask>> machines = new ArrayList<>();
  private final List<TaskStream> streams = new ArrayList<>();
  private Random random = new Random(0);
  private boolean cloudRefusesRequests;

  @ParameterizedTest(
      name =
          "{0} machines: job of {1} cores, rank {2}, {3} s; stream of {4} cores, rank {5}, {6} s")
  @CsvSource({
    "1, 4, 1, 100, 4, 2, 4",
    "1, 8, 1, 100, 4, 2, 20",
    "4, 8, 2, 100, 4, 2, 20",
    "1, 8, 2, 100, 4, 2, 60",
    "4, 8, 2, 30, 2, 2, 60",
    "20, 8, 2, 30, 2, 2, 60",
  })
  void startsJobWithinTimeLimit(
      int machineCount,
      int cores,
      int rank,
      long estimatedRunTimeS,
      int streamCores,
      int streamRank,
      long streamRunTimeS) {
    streams.add(new TaskStream(streamCores, streamRank, 1_000 * streamRunTimeS));
    for (long seed = 1; seed <= 5; seed++) {
      for (boolean cloudRefuses : new boolean[] {false, true}) {
        cloudRefusesRequests = cloudRefuses;
        assertThat(
                firstStartMs(
                    machineCount, new TaskStream(cores, rank, 1_000 * estimatedRunTimeS), seed))
            .as("seed %d, cloud refuses requests: %b", seed, cloudRefuses)
            .isLessThanOrEqualTo(MAX_START_DELAY_MS);
      }
    }
  }

  /**
   * A stream of high-priority tasks that use whole machines has precedence. Short tasks of lower
   * priority fit into the capacity that it leaves free, but must not starve the long task.
   */
  @ParameterizedTest(name = "{0} machines")
  @CsvSource({"1", "4", "20"})
  void startsLongTaskDespiteShortLowerPriorityTasks(int machineCount) {
    streams.add(new TaskStream(4, 2, 4_000));
    streams.add(new TaskStream(CORES, 0, 10_000));
    for (long seed = 1; seed <= 5; seed++) {
      assertThat(firstStartMs(machineCount, new TaskStream(4, 1, 100_000), seed))
          .as("seed %d", seed)
          .isLessThanOrEqualTo(2 * STARVED_AFTER_MS);
    }
  }

  private long firstStartMs(int machineCount, TaskStream job, long seed) {
    random = new Random(seed);
    machines.clear();
    for (int i = 0; i < machineCount; i++) {
      machines.add(new ArrayList<>());
      machines.get(i).add(running(streams.get(0), START_MS));
    }
    int cycle = 0;
    for (long ageMs = 0; ageMs < SIMULATED_MS; ageMs += CYCLE_MS) {
      long nowMs = START_MS + ageMs;
      machines.forEach(tasks -> tasks.removeIf(task -> task.endMs() <= nowMs));
      boolean oldestFirst = ++cycle % OLDEST_FIRST_EVERY == 0;
      if (applyDecision(Planner.plan(snapshot(job, ageMs, oldestFirst)), nowMs)) {
        return ageMs;
      }
    }
    return SIMULATED_MS;
  }

  /** Applies the decision to the simulated machines; returns whether the job has started. */
  private boolean applyDecision(SchedulingDecision decision, long nowMs) {
    List<List<RunningStreamTask>> stopped = new ArrayList<>();
    machines.forEach(tasks -> stopped.add(new ArrayList<>()));
    for (SchedulingDecision.PreemptedTask preempt : decision.preemptions()) {
      RunningStreamTask task = machines.get(preempt.machine()).get(preempt.task());
      stopped.get(preempt.machine()).add(task);
    }
    for (int i = 0; i < machines.size(); i++) {
      machines.get(i).removeAll(stopped.get(i));
    }
    for (SchedulingDecision.PlacedTask place : decision.placements()) {
      if (place.job() == streams.size()) {
        return true;
      }
      machines.get(place.machine()).add(running(streams.get(place.job()), nowMs));
    }
    return false;
  }

  private RunningStreamTask running(TaskStream stream, long nowMs) {
    long runMs = (long) (stream.estimatedRunTimeMs() * (0.7 + 0.6 * random.nextDouble()));
    return new RunningStreamTask(nowMs + runMs, stream, nowMs);
  }

  private Snapshot snapshot(TaskStream job, long ageMs, boolean oldestFirst) {
    long nowMs = START_MS + ageMs;
    List<PendingJob> jobs = new ArrayList<>();
    for (TaskStream stream : streams) {
      jobs.add(pending(stream, 2 * machines.size(), nowMs, 1_000, true));
    }
    jobs.add(pending(job, 1, START_MS, ageMs, false));
    List<MachineCapacity> capacities = new ArrayList<>();
    machines.forEach(tasks -> capacities.add(capacity(tasks, nowMs)));
    return new Snapshot(
        nowMs,
        new Snapshot.Limits(10_000, 3_000, 0),
        oldestFirst,
        0,
        List.of(new Snapshot.Team(1_000, 0, 0, 0)),
        jobs,
        capacities,
        List.of(
            new InstanceOffer(
                attributes(),
                new Resources(CORES, 0, 64, TASK_SLOTS, SMALL_TASK_SLOTS),
                30_000,
                !cloudRefusesRequests)));
  }

  private static MachineAttributes attributes() {
    return new MachineAttributes(0, 0, true, 1, 1);
  }

  private static PendingJob pending(
      TaskStream stream, int waiting, long submittedMs, long ageMs, boolean everStarted) {
    Resources size = Resources.ofTask(stream.cores(), 0, 1);
    long dueMs = submittedMs + 2 * stream.estimatedRunTimeMs();
    boolean unattainable = submittedMs + ageMs + stream.estimatedRunTimeMs() > dueMs;
    return new PendingJob(
        0,
        stream.rank(),
        new PendingJob.Requirements(size, IMAGE, 0, stream.estimatedRunTimeMs()),
        new PendingJob.Constraints(null, -1, false, false, true, 0, new IntOpenHashSet()),
        new PendingJob.Progress(
            waiting, waiting, new int[2], ageMs, everStarted, ageMs >= STARVED_AFTER_MS, false),
        new PendingJob.Objectives(dueMs, unattainable, false, 0));
  }

  private static MachineCapacity capacity(List<RunningStreamTask> tasks, long nowMs) {
    List<RunningTask> running = new ArrayList<>();
    double free = CORES;
    for (RunningStreamTask task : tasks) {
      free -= task.stream().cores();
      running.add(
          new RunningTask(
              task.endMs(),
              Resources.ofTask(task.stream().cores(), 0, 1),
              task.stream().rank(),
              nowMs - task.startedMs()));
    }
    return new MachineCapacity(
        attributes(),
        true,
        0,
        0,
        new Resources(free, 0, 64, TASK_SLOTS, SMALL_TASK_SLOTS),
        new MachineCapacity.Lifetime(tasks.isEmpty(), nowMs + SIMULATED_MS, nowMs),
        new IntOpenHashSet(new int[] {IMAGE}),
        running);
  }
}
