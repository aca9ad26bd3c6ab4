package dev.windbend.plan;

import it.unimi.dsi.fastutil.ints.IntOpenHashSet;

/**
 * The waiting tasks of a job, which are all alike.
 *
 * @param team the team's index
 * @param rank the job's priority; 0 is the highest
 * @param requirements what a task needs
 * @param constraints where and from when tasks may be placed
 * @param progress which tasks wait, and for how long
 * @param objectives when the job should start and end
 */
public record PendingJob(
    int team,
    int rank,
    Requirements requirements,
    Constraints constraints,
    Progress progress,
    Objectives objectives) {

  /**
   * What a task needs.
   *
   * @param resources what it uses while it runs
   * @param image the index of its image
   * @param imageGb the image's size
   * @param estimatedRunTimeMs how long it runs, as estimated
   */
  public record Requirements(
      Resources resources, int image, double imageGb, long estimatedRunTimeMs) {}

  /**
   * Where and from when tasks may be placed.
   *
   * @param types by machine type; null: any
   * @param zone -1: any
   * @param colocated all tasks run in the same zone
   * @param spread no zone has more than half of the tasks, rounded up
   * @param spot whether spot instances will do
   * @param notBeforeMs no task is placed before that time
   * @param avoidedMachines indices of machines on which tasks of the job have failed
   */
  public record Constraints(
      boolean[] types,
      int zone,
      boolean colocated,
      boolean spread,
      boolean spot,
      long notBeforeMs,
      IntOpenHashSet avoidedMachines) {

    /** Whether tasks may run on machines of this type. */
    public boolean allowsType(int type) {
      return types == null || types[type];
    }

    /** Whether tasks may run on this kind of machine, their other tasks left aside. */
    public boolean allows(MachineAttributes kind) {
      return allowsType(kind.type()) && (zone < 0 || zone == kind.zone()) && (spot || !kind.spot());
    }
  }

  /**
   * Which tasks wait, and for how long.
   *
   * @param tasks all tasks of the job
   * @param waiting those that wait
   * @param placedPerZone those that are placed, by zone, if constraints go by them
   * @param ageMs time since the job's submission
   * @param everStarted whether a task of it was ever started
   * @param starved no task was placed for so long that one goes first, whatever that costs
   * @param displaced tasks lost their machine with a zone
   */
  public record Progress(
      int tasks,
      int waiting,
      int[] placedPerZone,
      long ageMs,
      boolean everStarted,
      boolean starved,
      boolean displaced) {}

  /**
   * When the job should start and end.
   *
   * @param dueMs the next of its deadlines that it can still meet
   * @param unattainable it can meet none
   * @param guaranteed it is within its team's guarantee together with the team's earlier jobs, and
   *     is to start promptly
   * @param startByMs until then an early start counts
   */
  public record Objectives(long dueMs, boolean unattainable, boolean guaranteed, long startByMs) {}

  /** The work that waits, in core milliseconds. */
  double waitingWork() {
    return progress.waiting * requirements.resources.cores() * requirements.estimatedRunTimeMs;
  }
}
