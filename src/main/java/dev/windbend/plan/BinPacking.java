package dev.windbend.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * Places tasks on machines that are running and already paid for (paper, Algorithm 1, lines 7 to
 * 10), in ascending order of {@link PlacementScore}.
 */
final class BinPacking {
  private static final double MS_PER_SECOND = 1_000;

  private final CycleState state;
  private final PlacementScore score;

  BinPacking(CycleState state) {
    this.state = state;
    this.score = new PlacementScore(state.machines());
  }

  /**
   * Places a job's tasks where capacity is free now. If the job still benefits from an early start,
   * a machine that has the image is reserved instead, provided that it becomes free sooner than the
   * image could be fetched.
   *
   * @param tasksToLeave number of tasks to leave unassigned
   * @param maxExtensionCost maximum cost of extending a machine's paid block for a task
   */
  void place(JobCursor cursor, int tasksToLeave, double maxExtensionCost) {
    List<Candidate> candidates = new ArrayList<>();
    state.addMachinesExamined(state.machines().size());
    for (MachineReservations machine : state.machines()) {
      if (state.mayStart(cursor, machine)) {
        addCandidate(candidates, cursor, machine, maxExtensionCost);
      }
    }
    candidates.sort(Candidate.BEST_FIRST);
    for (Candidate candidate : candidates) {
      if (candidate.startMs() == Candidate.NOW) {
        fill(cursor, tasksToLeave, candidate.machine());
      } else if (cursor.unassignedTasks() > tasksToLeave && cursor.mayUse(candidate.machine())) {
        state.trace().recordObstacle(cursor, DecisionTrace.Obstacle.MACHINE_WITH_IMAGE_PREFERRED);
        state.reserve(cursor, candidate.machine(), candidate.startMs());
      }
      if (cursor.unassignedTasks() <= tasksToLeave) {
        return;
      }
    }
  }

  private void addCandidate(
      List<Candidate> candidates,
      JobCursor cursor,
      MachineReservations machine,
      double maxExtensionCost) {
    traceReservationConflict(cursor, machine);
    PendingJob.Requirements task = cursor.job().requirements();
    long fetchMs = machine.fetchMs(task);
    if (machine.freeNow().fits(task.resources())
        && machine.fitsNow(task.estimatedRunTimeMs() + fetchMs, task.resources())) {
      if (extensionCost(task, machine) <= maxExtensionCost) {
        candidates.add(Candidate.startingNow(machine, score.scoreImmediateStart(machine, fetchMs)));
      } else {
        state.trace().recordObstacle(cursor, DecisionTrace.Obstacle.EXTENSION_COST);
      }
    } else if (fetchMs == 0 && mayWaitForImage(cursor.job())) {
      long freeMs = machine.firstFitMs(task.estimatedRunTimeMs(), task.resources());
      long waitMs = freeMs - state.nowMs();
      if (waitMs < task.imageGb() * MS_PER_SECOND / machine.attributes().fetchGbPerSecond()) {
        candidates.add(
            Candidate.startingAt(machine, score.scoreDelayedStart(machine, waitMs), freeMs));
      }
    }
  }

  /**
   * Whether the job may wait for a machine that has its image. Waiting is allowed only before the
   * time to start by. A displaced job does not wait, because a job of lower priority could take the
   * capacity that is free now.
   */
  private boolean mayWaitForImage(PendingJob job) {
    return state.nowMs() < job.objectives().startByMs() && !DisplacedPrecedence.appliesTo(job);
  }

  private void fill(JobCursor cursor, int tasksToLeave, MachineReservations machine) {
    PendingJob.Requirements task = cursor.job().requirements();
    long runMs = machine.runMs(task);
    while (cursor.unassignedTasks() > tasksToLeave
        && cursor.mayUse(machine)
        && machine.fitsNow(runMs, task.resources())) {
      state.place(cursor, machine);
    }
    if (cursor.unassignedTasks() > tasksToLeave) {
      traceReservationConflict(cursor, machine);
    }
  }

  private void traceReservationConflict(JobCursor cursor, MachineReservations machine) {
    PendingJob.Requirements task = cursor.job().requirements();
    if (state.trace().enabled()
        && machine.freeNow().fits(task.resources())
        && !machine.fitsNow(machine.runMs(task), task.resources())) {
      state.trace().recordObstacle(cursor, DecisionTrace.Obstacle.RESERVED_AHEAD);
    }
  }

  /**
   * Returns the cost of extending the paid block until the end of the task; 0 if the task ends
   * within the block. It must not exceed the cost of a new machine. The price is per hour and the
   * time is in milliseconds, as in {@link ScaleOutPlanner#costOfNewMachine}, so both costs can be
   * compared.
   */
  private double extensionCost(PendingJob.Requirements task, MachineReservations machine) {
    MachineCapacity capacity = machine.capacity();
    long extensionMs =
        state.nowMs() + task.estimatedRunTimeMs() - capacity.lifetime().paidUntilMs();
    return extensionMs <= 0 ? 0 : capacity.attributes().pricePerHour() * extensionMs;
  }
}
