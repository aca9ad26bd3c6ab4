package dev.windbend.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * Places tasks on machines that are up and paid (paper, Algorithm 1, lines 7 to 10): those with the
 * lowest {@link PlacementScore} first.
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
   * Places a job's tasks where capacity is free now. Where an early start counts, a machine that
   * has the image and is free before another could have fetched it is reserved instead.
   *
   * @param keep how many tasks are left over
   * @param maxExtensionCost what it may cost that a task runs past a machine's paid block
   */
  void place(JobCursor cursor, int keep, double maxExtensionCost) {
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
        fill(cursor, keep, candidate.machine());
      } else if (cursor.unassignedTasks() > keep && cursor.mayUse(candidate.machine())) {
        state.trace().recordObstacle(cursor, DecisionTrace.Obstacle.MACHINE_WITH_IMAGE_PREFERRED);
        state.reserve(cursor, candidate.machine(), candidate.startMs());
      }
      if (cursor.unassignedTasks() <= keep) {
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

  /** An early start still counts; a displaced job leaves no room that is free to a lower one. */
  private boolean mayWaitForImage(PendingJob job) {
    return state.nowMs() < job.objectives().startByMs() && !DisplacedPrecedence.appliesTo(job);
  }

  private void fill(JobCursor cursor, int keep, MachineReservations machine) {
    PendingJob.Requirements task = cursor.job().requirements();
    long runMs = machine.runMs(task);
    while (cursor.unassignedTasks() > keep
        && cursor.mayUse(machine)
        && machine.fitsNow(runMs, task.resources())) {
      state.place(cursor, machine);
    }
    if (cursor.unassignedTasks() > keep) {
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

  /** Running past the paid block extends it. That must not cost more than a new machine would. */
  private double extensionCost(PendingJob.Requirements task, MachineReservations machine) {
    MachineCapacity capacity = machine.capacity();
    long pastMs = state.nowMs() + task.estimatedRunTimeMs() - capacity.lifetime().paidUntilMs();
    return pastMs <= 0 ? 0 : capacity.attributes().pricePerHour() * pastMs;
  }
}
