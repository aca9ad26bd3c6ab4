package dev.windbend.plan;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * Why a cycle left tasks waiting, for logs and tests. A cycle that nobody asks for reasons runs
 * with {@link #NONE}, which records nothing.
 */
public final class DecisionTrace {
  /** Records nothing. */
  public static final DecisionTrace NONE = new DecisionTrace(false);

  private final boolean enabled;
  private final TreeMap<Integer, LeftWaiting> byJob = new TreeMap<>();

  /** Why a task was not started on a machine that is up. */
  public enum Obstacle {
    /** The team's quota is used up, what is reserved for its earlier jobs included. */
    QUOTA,
    /** Capacity is free now and reserved for another task before this one would end. */
    RESERVED_AHEAD,
    /** The paid block would have to be extended at a higher cost than that of a new machine. */
    EXTENSION_COST,
    /** More work would be lost by preemption than gained. */
    PREEMPTION_LOSS,
    /** A machine that has the image and is free soon was preferred. */
    MACHINE_WITH_IMAGE_PREFERRED,
    /** A displaced task of higher priority that fits waits as well. */
    HIGHER_DISPLACED_TASK,
  }

  /** What is to become of tasks that wait. */
  public enum Outlook {
    /** The slack allows waiting. */
    POSTPONED,
    /** Reserved on a machine that is free soon. */
    SOON_FREE_MACHINE,
    /** Reserved on a machine that the cycle requests. */
    NEW_MACHINE,
    /** Nothing can be had in time; the next cycle looks again. */
    NOTHING_IN_TIME,
  }

  /**
   * The tasks of a job that were not started.
   *
   * @param job the job's place in the snapshot
   * @param obstacles all that were met; none: no machine that it may use has free capacity
   * @param outlooks what is to become of the tasks
   */
  public record LeftWaiting(int job, Set<Obstacle> obstacles, Set<Outlook> outlooks) {}

  private DecisionTrace(boolean enabled) {
    this.enabled = enabled;
  }

  /** A trace that records one cycle. */
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

  /** The jobs of which the decision leaves tasks waiting, in the snapshot's order. */
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
