package dev.windbend.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * One scheduling cycle (paper, Algorithm 1) as a pure function: idle paid capacity first; wait
 * while the slack allows; queue behind a machine that is free soon enough, which is reserved; else
 * extend a paid block or scale out, whichever costs less.
 *
 * <p>The tasks of a job are alike, so a job examines each machine once and not once for each task,
 * and what one job has found exhausted is not searched again for another of its size.
 */
public final class Planner {
  /** Of a job that must begin one task in so many goes first. */
  private static final int MUST_START_DIVISOR = 8;

  private final Snapshot snapshot;
  private final CycleState state;
  private final BinPacking binPacking;
  private final AdvanceReservations advanceReservations;
  private final Preemption preemption;
  private final ScaleOutPlanner scaleOutPlanner;

  private Planner(Snapshot snapshot, DecisionTrace trace) {
    this.snapshot = snapshot;
    this.state = new CycleState(snapshot, trace);
    this.binPacking = new BinPacking(state);
    this.advanceReservations = new AdvanceReservations(state);
    this.preemption = new Preemption(state);
    this.scaleOutPlanner = new ScaleOutPlanner(state);
  }

  /** Decides what a cycle does; the same for the same snapshot. */
  public static SchedulingDecision plan(Snapshot snapshot) {
    return plan(snapshot, DecisionTrace.NONE);
  }

  /** The same, and records why tasks were left waiting. */
  public static SchedulingDecision plan(Snapshot snapshot, DecisionTrace trace) {
    return new Planner(snapshot, trace).run();
  }

  private SchedulingDecision run() {
    List<JobCursor> cursors = eligibleJobs();
    cursors.sort(JobOrder.OLDEST_FIRST);
    placeOneTaskOfStarvedJobs(cursors);
    startJobsThatMustStart(cursors);
    if (snapshot.oldestFirst()) {
      serveLongWaitingJobs(cursors);
    }
    cursors.sort(JobOrder.MOST_URGENT_FIRST);
    for (JobCursor cursor : cursors) {
      serve(cursor, cursor.unassignedTasks());
      state.recordServed(cursor);
    }
    ScaleInPlanner scaleIn = new ScaleInPlanner(state);
    return new SchedulingDecision(
        state.preemptions(),
        state.placements(),
        scaleOutPlanner.requests(),
        scaleIn.idleMachines(),
        scaleIn.machinesToRelease(),
        state.coresAwaitingMachines(),
        state.machinesExamined());
  }

  private List<JobCursor> eligibleJobs() {
    List<JobCursor> cursors = new ArrayList<>();
    for (int i = 0; i < snapshot.jobs().size(); i++) {
      PendingJob job = snapshot.jobs().get(i);
      if (JobOrder.eligible(job, snapshot.nowMs())) {
        cursors.add(new JobCursor(job, i));
      }
    }
    return cursors;
  }

  private void placeOneTaskOfStarvedJobs(List<JobCursor> cursors) {
    for (JobCursor cursor : cursors) {
      if (cursor.job().progress().starved() && state.tasksWithinQuota(cursor.job()) > 0) {
        binPacking.place(cursor, cursor.unassignedTasks() - 1, Double.POSITIVE_INFINITY);
      }
    }
  }

  private void startJobsThatMustStart(List<JobCursor> cursors) {
    for (JobCursor cursor : cursors) {
      if (JobOrder.mustStart(cursor.job())) {
        serve(cursor, 1 + (cursor.job().progress().waiting() - 1) / MUST_START_DIVISOR);
      }
    }
  }

  private void serveLongWaitingJobs(List<JobCursor> cursors) {
    for (JobCursor cursor : cursors) {
      if (JobOrder.longWaiting(cursor.job())) {
        serve(cursor, cursor.unassignedTasks());
      }
    }
  }

  /** Serves at most so many of a job's tasks. */
  private void serve(JobCursor cursor, int maxTasks) {
    int wanted = Math.min(cursor.unassignedTasks(), maxTasks);
    int withinQuota = Math.min(wanted, state.tasksWithinQuota(cursor.job()));
    if (withinQuota < wanted) {
      state.trace().recordObstacle(cursor, DecisionTrace.Obstacle.QUOTA);
    }
    int startedBefore = cursor.startedTasks();
    startOrReserve(cursor, cursor.unassignedTasks() - withinQuota);
    if (cursor.startedTasks() < startedBefore + withinQuota) {
      cursor.markLeftWaiting();
    }
  }

  /**
   * The body of Algorithm 1's loop over jobs.
   *
   * @param keep how many tasks are left over
   */
  private void startOrReserve(JobCursor cursor, int keep) {
    PendingJob job = cursor.job();
    binPacking.place(cursor, keep, maxExtensionCost(job));
    if (cursor.unassignedTasks() > keep && preemption.possibleFor(job)) {
      advanceReservations.reserve(cursor, keep, preemptionWaitEndMs(job), false);
      preemption.place(cursor, keep);
    }
    if (cursor.unassignedTasks() <= keep) {
      return;
    }
    long bootMs = scaleOutPlanner.bootMs(job);
    boolean prompt = job.objectives().guaranteed() || JobOrder.mustStart(job);
    if (slackAllowsWaiting(job, bootMs) && !prompt) {
      state.trace().recordOutlook(cursor, DecisionTrace.Outlook.POSTPONED);
      return;
    }
    advanceReservations.reserve(cursor, keep, snapshot.nowMs() + bootMs, !prompt);
    scaleOutPlanner.request(cursor, keep);
    if (cursor.unassignedTasks() > keep) {
      state.trace().recordOutlook(cursor, DecisionTrace.Outlook.NOTHING_IN_TIME);
      state.addCoresAwaitingMachines(
          (cursor.unassignedTasks() - keep) * cursor.resources().cores());
      cursor.setUnassignedTasks(keep);
    }
  }

  /** A displaced job takes what is free now, so that no lower one does while it waits. */
  private double maxExtensionCost(PendingJob job) {
    return DisplacedPrecedence.appliesTo(job)
        ? Double.POSITIVE_INFINITY
        : scaleOutPlanner.costOfNewMachine(job);
  }

  /**
   * Until when free capacity is waited for rather than preempted. What is free after the time to
   * start by is no help while that can still be kept.
   */
  private long preemptionWaitEndMs(PendingJob job) {
    long startByMs = job.objectives().startByMs();
    long patienceEndsMs = snapshot.nowMs() + snapshot.limits().preemptionWaitMs();
    return snapshot.nowMs() < startByMs ? Math.min(patienceEndsMs, startByMs) : patienceEndsMs;
  }

  private boolean slackAllowsWaiting(PendingJob job, long bootMs) {
    long estimatedRunTimeMs = job.requirements().estimatedRunTimeMs();
    long slackMs = job.objectives().dueMs() - snapshot.nowMs() - estimatedRunTimeMs - bootMs;
    return slackMs > estimatedRunTimeMs + snapshot.limits().cyclePeriodMs();
  }
}
