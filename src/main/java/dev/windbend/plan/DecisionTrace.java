package dev.windbend.plan;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * Records why a scheduling cycle left tasks waiting, for logs and tests. Use {@link #NONE} for a
 * cycle whose reasons are not needed.
 */
public final class DecisionTrace {
  /** A trace that records nothing. */
  public static final DecisionTrace NONE = new DecisionTrace(false);

  private final boolean enabled;
  private final TreeMap<Integer, LeftWaiting> byJob = new TreeMap<>();

  /** Why a task was not started on a running machine. */
  public enum Obstacle {
    /**
     * The team's quota is exhausted, including reservations for jobs of the team that were served
     * earlier.
     */
    QUOTA,
    /** Capacity is free now but reserved for another task before this task would end. */
    RESERVED_AHEAD,
    /** Extending the paid block would cost more than a new machine. */
    EXTENSION_COST,
    /** Preemption would lose more work than it gains. */
    PREEMPTION_LOSS,
    /** A machine that has the image and becomes free soon was preferred. */
    MACHINE_WITH_IMAGE_PREFERRED,
    /** A waiting displaced task of higher priority fits into the same capacity. */
    HIGHER_DISPLACED_TASK,
  }

  /** What the cycle has planned for tasks that wait. */
  public enum Outlook {
    /** The deadline leaves enough slack to wait for a later cycle. */
    POSTPONED,
    /** Capacity is reserved on a machine that becomes free soon. */
    SOON_FREE_MACHINE,
    /** Capacity is reserved on a machine that the cycle requests. */
    NEW_MACHINE,
    /** No capacity becomes available in time; the next cycle tries again. */
    NOTHING_IN_TIME,
  }

  /**
   * The tasks of a job that were not started.
   *
   * @param job index of the job in the snapshot
   * @param obstacles reasons why tasks were not started; empty if no machine that the job may use
   *     has free capacity
   * @param outlooks what the cycle has planned for the tasks
   */
  public record LeftWaiting(int job, Set<Obstacle> obstacles, Set<Outlook> outlooks) {}

  private DecisionTrace(boolean enabled) {
    this.enabled = enabled;
  }

  /** Returns a trace that records one cycle. */
  public static DecisionTrace recording() {
    return new DecisionTrace(true);
  }

  boolean enabled() {
    return enabled;
  }

  void recordObstacle(JobCursor cursor, Obstacle obstacle) {
    if (enabled) {
      entryFor(cursor).obstacles.add(obstacle);
    }
  }

  void recordOutlook(JobCursor cursor, Outlook outlook) {
    if (enabled) {
      entryFor(cursor).outlooks.add(outlook);
    }
  }

  private LeftWaiting entryFor(JobCursor cursor) {
    return byJob.computeIfAbsent(
        cursor.index(),
        job -> new LeftWaiting(job, EnumSet.noneOf(Obstacle.class), EnumSet.noneOf(Outlook.class)));
  }

  /**
   * Returns the recorded jobs with tasks that the decision leaves waiting, in snapshot order. Empty
   * for {@link #NONE}.
   */
  public List<LeftWaiting> leftWaiting(Snapshot snapshot, SchedulingDecision decision) {
    if (!enabled) {
      return List.of();
    }
    int[] left = snapshot.jobs().stream().mapToInt(job -> job.progress().waiting()).toArray();
    for (SchedulingDecision.PlacedTask placed : decision.placements()) {
      left[placed.job()]--;
    }
    return byJob.values().stream().filter(waiting -> left[waiting.job()] > 0).toList();
  }
}
