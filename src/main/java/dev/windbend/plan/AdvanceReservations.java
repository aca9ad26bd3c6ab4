package dev.windbend.plan;

import java.util.PriorityQueue;

/**
 * Has tasks queue behind machines that are free soon enough, which are reserved for them (paper,
 * Algorithm 1, lines 18 to 25).
 */
final class AdvanceReservations {
  private final CycleState state;

  AdvanceReservations(CycleState state) {
    this.state = state;
  }

  /**
   * Reserves machines for a job's tasks, those free first before the others.
   *
   * @param keep how many tasks are left over
   * @param byMs they have to be free by that time
   * @param orInTime or, where that is later, in time for the deadline
   */
  void reserve(JobCursor cursor, int keep, long byMs, boolean orInTime) {
    PendingJob job = cursor.job();
    long latestStartMs = job.objectives().dueMs() - cursor.estimatedRunTimeMs();
    long untilMs = orInTime ? Math.max(byMs, latestStartMs) : byMs;
    if (state.unavailableSizes().contains(cursor.resources(), untilMs)) {
      return;
    }
    PriorityQueue<Candidate> candidates = new PriorityQueue<>(Candidate.BEST_FIRST);
    boolean allSearched = !cursor.constrainedByZones();
    for (MachineReservations machine : state.machines()) {
      if (cursor.unassignedTasks() <= keep) {
        return;
      }
      if (cursor.mayUse(machine)) {
        addCandidate(candidates, job, machine, byMs, orInTime);
      } else {
        allSearched = false;
      }
    }
    reserveBest(candidates, cursor, keep, byMs, orInTime);
    if (cursor.unassignedTasks() > keep && allSearched && untilMs == byMs) {
      state.unavailableSizes().add(cursor.resources(), byMs);
    }
  }

  private void reserveBest(
      PriorityQueue<Candidate> candidates,
      JobCursor cursor,
      int keep,
      long byMs,
      boolean orInTime) {
    while (cursor.unassignedTasks() > keep && !candidates.isEmpty()) {
      Candidate candidate = candidates.poll();
      MachineReservations machine = candidate.machine();
      if (cursor.mayUse(machine)) {
        if (!machine.up()) {
          state.addCoresAwaitingMachines(cursor.resources().cores());
        }
        state.trace().recordOutlook(cursor, DecisionTrace.Outlook.SOON_FREE_MACHINE);
        state.reserve(cursor, machine, candidate.startMs());
        addCandidate(candidates, cursor.job(), machine, byMs, orInTime);
      }
    }
  }

  private void addCandidate(
      PriorityQueue<Candidate> candidates,
      PendingJob job,
      MachineReservations machine,
      long byMs,
      boolean orInTime) {
    state.addMachinesExamined(1);
    PendingJob.Requirements task = job.requirements();
    long runMs = machine.runMs(task);
    long freeMs = machine.firstFitMs(runMs, task.resources());
    boolean inTime =
        orInTime && freeMs < Long.MAX_VALUE && freeMs + runMs <= job.objectives().dueMs();
    if (freeMs <= byMs || inTime) {
      candidates.add(Candidate.startingAt(machine, (double) freeMs, freeMs));
    }
  }
}
