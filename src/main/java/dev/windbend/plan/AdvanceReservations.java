package dev.windbend.plan;

import java.util.PriorityQueue;

/**
 * Reserves machines that become free soon enough, so that tasks queue for them (paper, Algorithm 1,
 * lines 18 to 25).
 */
final class AdvanceReservations {
  private final CycleState state;

  AdvanceReservations(CycleState state) {
    this.state = state;
  }

  /**
   * Reserves capacity for a job's tasks on the machines that become free first.
   *
   * @param tasksToLeave number of tasks to leave unassigned
   * @param freeByMs latest time at which a machine may become free
   * @param allowUntilDeadline whether a machine may also become free later, provided that the task
   *     still meets its deadline
   */
  void reserve(JobCursor cursor, int tasksToLeave, long freeByMs, boolean allowUntilDeadline) {
    PendingJob job = cursor.job();
    long latestStartMs = job.objectives().dueMs() - cursor.estimatedRunTimeMs();
    long untilMs = allowUntilDeadline ? Math.max(freeByMs, latestStartMs) : freeByMs;
    if (state.unavailableSizes().contains(cursor.resources(), untilMs)) {
      return;
    }
    PriorityQueue<Candidate> candidates = new PriorityQueue<>(Candidate.BEST_FIRST);
    boolean searchedAllMachines = !cursor.constrainedByZones();
    for (MachineReservations machine : state.machines()) {
      if (cursor.unassignedTasks() <= tasksToLeave) {
        return;
      }
      if (cursor.mayUse(machine)) {
        addCandidate(candidates, job, machine, freeByMs, allowUntilDeadline);
      } else {
        searchedAllMachines = false;
      }
    }
    reserveBest(candidates, cursor, tasksToLeave, freeByMs, allowUntilDeadline);
    if (cursor.unassignedTasks() > tasksToLeave && searchedAllMachines && untilMs == freeByMs) {
      state.unavailableSizes().add(cursor.resources(), freeByMs);
    }
  }

  private void reserveBest(
      PriorityQueue<Candidate> candidates,
      JobCursor cursor,
      int tasksToLeave,
      long freeByMs,
      boolean allowUntilDeadline) {
    while (cursor.unassignedTasks() > tasksToLeave && !candidates.isEmpty()) {
      Candidate candidate = candidates.poll();
      MachineReservations machine = candidate.machine();
      if (cursor.mayUse(machine)) {
        if (!machine.up()) {
          state.addCoresAwaitingMachines(cursor.resources().cores());
        }
        state.trace().recordOutlook(cursor, DecisionTrace.Outlook.SOON_FREE_MACHINE);
        state.reserve(cursor, machine, candidate.startMs());
        addCandidate(candidates, cursor.job(), machine, freeByMs, allowUntilDeadline);
      }
    }
  }

  private void addCandidate(
      PriorityQueue<Candidate> candidates,
      PendingJob job,
      MachineReservations machine,
      long freeByMs,
      boolean allowUntilDeadline) {
    state.addMachinesExamined(1);
    PendingJob.Requirements task = job.requirements();
    long runMs = machine.runMs(task);
    long freeMs = machine.firstFitMs(runMs, task.resources());
    boolean meetsDeadline =
        allowUntilDeadline && freeMs < Long.MAX_VALUE && freeMs + runMs <= job.objectives().dueMs();
    if (freeMs <= freeByMs || meetsDeadline) {
      candidates.add(Candidate.startingAt(machine, (double) freeMs, freeMs));
    }
  }
}
