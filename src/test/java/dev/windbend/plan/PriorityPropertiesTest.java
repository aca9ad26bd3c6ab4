package dev.windbend.plan;

import static org.assertj.core.api.Assertions.assertThat;

import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Priority properties for random mixes of sizes, zones, machine types, images, constraints and
 * offers.
 */
class PriorityPropertiesTest {
  private static final long NOW = 1_000_000;
  private static final int RANKS = 4;
  private static final int MAX_JOBS = 12;
  private static final int MAX_MACHINES = 8;
  private static final long AMPLE_QUOTA = 100_000;
  private static final int TASK_SLOTS = 500;
  private static final int SMALL_TASK_SLOTS = 400;

  /** Generates a random snapshot. The numbers are small, so that sizes and times often coincide. */
  private static final class SnapshotGenerator {
    private final Random random;
    private final boolean displaced;

    SnapshotGenerator(long seed, boolean displaced) {
      this.random = new Random(seed);
      this.displaced = displaced;
    }

    Snapshot snapshot() {
      List<PendingJob> jobs = new ArrayList<>();
      for (int i = random.nextInt(MAX_JOBS); i >= 0; i--) {
        jobs.add(job());
      }
      List<MachineCapacity> machines = new ArrayList<>();
      for (int i = random.nextInt(MAX_MACHINES); i >= 0; i--) {
        machines.add(machine());
      }
      List<InstanceOffer> offers = new ArrayList<>();
      if (oneIn(2)) {
        offers.add(
            new InstanceOffer(
                attributes(), new Resources(8, 2, 64, TASK_SLOTS, SMALL_TASK_SLOTS), 30_000));
      }
      return new Snapshot(
          NOW,
          new Snapshot.Limits(10_000, 3_000, random.nextInt(3)),
          false,
          0,
          List.of(new Snapshot.Team(AMPLE_QUOTA, AMPLE_QUOTA, 0, 0)),
          jobs,
          machines,
          offers);
    }

    private boolean oneIn(int count) {
      return random.nextInt(count) == 0;
    }

    private PendingJob job() {
      int waiting = 1 + random.nextInt(6);
      Resources size =
          Resources.ofTask(1 + random.nextInt(8), oneIn(4) ? 1 : 0, 1 + random.nextInt(24));
      boolean[] types = oneIn(5) ? new boolean[] {oneIn(2), true} : null;
      IntOpenHashSet avoided = new IntOpenHashSet();
      if (oneIn(5)) {
        avoided.add(random.nextInt(MAX_MACHINES));
      }
      long estimatedRunTimeMs = 1_000L * (1 + random.nextInt(20));
      long startByMs = oneIn(3) ? NOW + 5_000 : 0;
      return new PendingJob(
          0,
          random.nextInt(RANKS),
          new PendingJob.Requirements(
              size, random.nextInt(3), 1 + random.nextInt(6), estimatedRunTimeMs),
          new PendingJob.Constraints(
              types, random.nextInt(6) - 4, oneIn(5), oneIn(5), !oneIn(4), 0, avoided),
          new PendingJob.Progress(
              waiting,
              waiting,
              new int[2],
              1_000L * random.nextInt(100),
              oneIn(2),
              false,
              displaced),
          new PendingJob.Objectives(
              NOW + 1_000L * random.nextInt(60), oneIn(5), oneIn(4), startByMs));
    }

    private MachineAttributes attributes() {
      boolean spot = oneIn(2);
      return new MachineAttributes(random.nextInt(2), random.nextInt(2), spot, spot ? 1 : 2.5, 1);
    }

    private MachineCapacity machine() {
      List<RunningTask> running = new ArrayList<>();
      double free = 8;
      while (free > 0 && !oneIn(3)) {
        double cores = 1 + random.nextInt((int) free);
        free -= cores;
        long lostMs = oneIn(3) ? -1 : 1_000L * random.nextInt(30);
        running.add(
            new RunningTask(
                NOW + 1_000L * random.nextInt(30),
                Resources.ofTask(cores, 0, 1),
                random.nextInt(RANKS),
                lostMs));
      }
      IntOpenHashSet images = new IntOpenHashSet(new int[] {random.nextInt(3)});
      return new MachineCapacity(
          attributes(),
          !oneIn(5),
          random.nextInt(3_000),
          NOW + 1_000L * random.nextInt(40),
          new Resources(free, random.nextInt(3), 64 - running.size(), TASK_SLOTS, SMALL_TASK_SLOTS),
          new MachineCapacity.Lifetime(running.isEmpty(), NOW + 1_000L * random.nextInt(60), NOW),
          images,
          running);
    }
  }

  /**
   * Guards against priority inversion as defined in docs/zones.md: a displaced task is placed in
   * capacity into which a waiting displaced task of higher priority fits.
   */
  @Property(tries = 2_000)
  void doesNotPlaceDisplacedTaskWhereWaitingHigherTaskFits(@ForAll long seed) {
    Snapshot snapshot = new SnapshotGenerator(seed, true).snapshot();
    SchedulingDecision decision = Planner.plan(snapshot);
    List<JobCursor> cursors = cursorsAfter(snapshot, decision);
    for (SchedulingDecision.PlacedTask placed : decision.placements()) {
      PendingJob lower = snapshot.jobs().get(placed.job());
      MachineReservations machine =
          new MachineReservations(snapshot.machines().get(placed.machine()), placed.machine(), NOW);
      for (JobCursor higher : cursors) {
        boolean inverted =
            higher.unassignedTasks() > 0
                && !higher.job().objectives().unattainable()
                && higher.job().rank() < lower.rank()
                && lower.requirements().resources().fits(higher.resources())
                && higher.mayUse(machine);
        assertThat(inverted).as("%s waits, %s is placed", higher.job(), lower).isFalse();
      }
    }
  }

  private static List<JobCursor> cursorsAfter(Snapshot snapshot, SchedulingDecision decision) {
    List<JobCursor> cursors = new ArrayList<>();
    for (int i = 0; i < snapshot.jobs().size(); i++) {
      cursors.add(new JobCursor(snapshot.jobs().get(i), i));
    }
    for (SchedulingDecision.PlacedTask placed : decision.placements()) {
      cursors
          .get(placed.job())
          .recordAssignment(
              new MachineReservations(
                  snapshot.machines().get(placed.machine()), placed.machine(), NOW));
    }
    return cursors;
  }

  /**
   * Guards against jobs of lower priority that affect others: a job gets the same placements with
   * and without them.
   */
  @Property(tries = 2_000)
  void lowerPriorityJobsDoNotChangeHigherPriorityPlacements(
      @ForAll long seed, @ForAll boolean displaced) {
    Snapshot snapshot = new SnapshotGenerator(seed, displaced).snapshot();
    List<SchedulingDecision.PlacedTask> all = Planner.plan(snapshot).placements();
    for (int lowest = 0; lowest < RANKS - 1; lowest++) {
      int rank = lowest;
      List<SchedulingDecision.PlacedTask> alone =
          Planner.plan(withoutJobsBelow(snapshot, rank)).placements();
      assertThat(all)
          .filteredOn(placed -> snapshot.jobs().get(placed.job()).rank() <= rank)
          .containsExactlyElementsOf(alone);
    }
  }

  /** Returns the snapshot with no waiting tasks in jobs of lower priority than the given rank. */
  private static Snapshot withoutJobsBelow(Snapshot snapshot, int lowestRank) {
    List<PendingJob> jobs = new ArrayList<>();
    for (PendingJob job : snapshot.jobs()) {
      jobs.add(job.rank() <= lowestRank ? job : withoutWaitingTasks(job));
    }
    return new Snapshot(
        snapshot.nowMs(),
        snapshot.limits(),
        snapshot.oldestFirst(),
        snapshot.reserveCores(),
        snapshot.teams(),
        jobs,
        snapshot.machines(),
        snapshot.offers());
  }

  private static PendingJob withoutWaitingTasks(PendingJob job) {
    PendingJob.Progress progress = job.progress();
    return new PendingJob(
        job.team(),
        job.rank(),
        job.requirements(),
        job.constraints(),
        new PendingJob.Progress(
            progress.tasks(),
            0,
            progress.placedPerZone(),
            progress.ageMs(),
            progress.everStarted(),
            progress.starved(),
            progress.displaced()),
        job.objectives());
  }
}
