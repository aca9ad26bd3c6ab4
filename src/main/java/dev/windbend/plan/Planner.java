package dev.windbend.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides one scheduling cycle (paper, Algorithm 1) as a pure function. Idle capacity that is
 * already paid for is used first. Tasks that find none wait while their slack allows it, or reserve
 * a machine that becomes free soon enough. Otherwise a paid block is extended or a new machine is
 * requested, whichever costs less.
 *
 * <p>All tasks of a job have the same requirements, so each machine is examined once per job
 * instead of once per task. If one job has found no capacity, the search is not repeated for
 * another job with tasks of the same size or larger.
 */
public final class Planner {
  /**
   * Divisor for the number of waiting tasks of a job that must start: one eighth of them, rounded
   * up, is served first.
   */
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

  /** Decides a scheduling cycle. The same snapshot always gives the same decision. */
  public static SchedulingDecision plan(Snapshot snapshot) {
    return plan(snapshot, DecisionTrace.NONE);
  }

  /** Decides a scheduling cycle and records in the trace why tasks were left waiting. */
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

  /** Serves at most {@code maxTasks} tasks of a job, within the team's quota. */
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
   * Starts a job's tasks or reserves capacity for them (the body of the loop over jobs in Algorithm
   * 1).
   *
   * @param tasksToLeave number of tasks to leave unassigned
   */
  private void startOrReserve(JobCursor cursor, int tasksToLeave) {
    PendingJob job = cursor.job();
    binPacking.place(cursor, tasksToLeave, maxExtensionCost(job));
    if (cursor.unassignedTasks() > tasksToLeave && preemption.possibleFor(job)) {
      advanceReservations.reserve(cursor, tasksToLeave, preemptionWaitEndMs(job), false);
      preemption.place(cursor, tasksToLeave);
    }
    if (cursor.unassignedTasks() <= tasksToLeave) {
      return;
    }
    long bootMs = scaleOutPlanner.bootMs(job);
    boolean prompt = job.objectives().guaranteed() || JobOrder.mustStart(job);
    if (slackAllowsWaiting(job, bootMs) && !prompt) {
      state.trace().recordOutlook(cursor, DecisionTrace.Outlook.POSTPONED);
      return;
    }
    advanceReservations.reserve(cursor, tasksToLeave, snapshot.nowMs() + bootMs, !prompt);
    scaleOutPlanner.request(cursor, tasksToLeave);
    if (cursor.unassignedTasks() > tasksToLeave) {
      state.trace().recordOutlook(cursor, DecisionTrace.Outlook.NOTHING_IN_TIME);
      state.addCoresAwaitingMachines(
          (cursor.unassignedTasks() - tasksToLeave) * cursor.resources().cores());
      cursor.setUnassignedTasks(tasksToLeave);
    }
  }

  /**
   * Returns the maximum cost of extending a paid block. It is unlimited for a displaced job, which
   * has to use capacity that is free now: otherwise a job of lower priority could take that
   * capacity while the displaced job waits.
   */
  private double maxExtensionCost(PendingJob job) {
    return DisplacedPrecedence.appliesTo(job)
        ? Double.POSITIVE_INFINITY
        : scaleOutPlanner.costOfNewMachine(job);
  }

  /**
   * Returns the time until which the job waits for capacity to become free instead of preempting
   * tasks. While the time to start by can still be met, the wait ends at that time at the latest,
   * because capacity that becomes free later would miss it.
   */
  private long preemptionWaitEndMs(PendingJob job) {
    long startByMs = job.objectives().startByMs();
    long waitEndMs = snapshot.nowMs() + snapshot.limits().preemptionWaitMs();
    return snapshot.nowMs() < startByMs ? Math.min(waitEndMs, startByMs) : waitEndMs;
  }

  private boolean slackAllowsWaiting(PendingJob job, long bootMs) {
    long estimatedRunTimeMs = job.requirements().estimatedRunTimeMs();
    long slackMs = job.objectives().dueMs() - snapshot.nowMs() - estimatedRunTimeMs - bootMs;
    return slackMs > estimatedRunTimeMs + snapshot.limits().cyclePeriodMs();
  }
}
