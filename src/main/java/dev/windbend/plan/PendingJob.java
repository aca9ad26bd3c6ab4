package dev.windbend.plan;

import it.unimi.dsi.fastutil.ints.IntOpenHashSet;

/**
 * A job with waiting tasks. All tasks of a job have the same requirements.
 *
 * @param team index of the team
 * @param rank priority of the job; 0 is the highest
 * @param requirements requirements of each task
 * @param constraints where and when tasks may be placed
 * @param progress how many tasks wait, and for how long
 * @param objectives target times of the job
 */
public record PendingJob(
    int team,
    int rank,
    Requirements requirements,
    Constraints constraints,
    Progress progress,
    Objectives objectives) {

  /**
   * Requirements of each task of a job.
   *
   * @param resources resources that the task uses while it runs
   * @param image index of the container image
   * @param imageGb size of the image in GB
   * @param estimatedRunTimeMs estimated run time in milliseconds
   */
  public record Requirements(
      Resources resources, int image, double imageGb, long estimatedRunTimeMs) {}

  /**
   * Where and when tasks may be placed.
   *
   * @param types allowed machine types, by index of the type; null if all are allowed
   * @param zone index of the required zone; -1 if any zone is allowed
   * @param colocated whether all tasks must run in the same zone
   * @param spread whether no zone may have more than half of the tasks, rounded up
   * @param spot whether spot instances are allowed
   * @param notBeforeMs earliest time at which tasks may be placed
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

    /** Whether tasks may run on machines of the given type. */
    public boolean allowsType(int type) {
      return types == null || types[type];
    }

    /**
     * Whether tasks may run on machines with the given attributes. The zones of the job's other
     * tasks are not considered.
     */
    public boolean allows(MachineAttributes attributes) {
      return allowsType(attributes.type())
          && (zone < 0 || zone == attributes.zone())
          && (spot || !attributes.spot());
    }
  }

  /**
   * How many tasks wait, and for how long.
   *
   * @param tasks number of all tasks of the job
   * @param waiting number of tasks that wait
   * @param placedPerZone number of placed tasks by zone; needed only if constraints depend on them
   * @param ageMs time since submission, in milliseconds
   * @param everStarted whether a task of the job was ever started
   * @param starved whether no task was placed for so long that one task is placed first, regardless
   *     of cost
   * @param displaced whether tasks of the job lost their machines in a zone failure
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
   * Target times of a job.
   *
   * @param dueMs earliest deadline that the job can still meet, or the last one if it can meet none
   * @param unattainable whether the job can meet none of its deadlines
   * @param guaranteed whether the job and the team's earlier jobs together are within the team's
   *     guarantee, so that the job should start promptly
   * @param startByMs time until which an early start is of benefit
   */
  public record Objectives(long dueMs, boolean unattainable, boolean guaranteed, long startByMs) {}

  /** Returns the work of the waiting tasks, in core milliseconds. */
  double waitingWork() {
    return progress.waiting * requirements.resources.cores() * requirements.estimatedRunTimeMs;
  }
}
