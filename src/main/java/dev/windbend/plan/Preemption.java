package dev.windbend.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Preempts tasks of lower priority for a job, where the least work is lost, and only if the work
 * gained exceeds the work lost.
 */
final class Preemption {
  private static final int NO_RANK = -1;

  private final CycleState state;
  private final int lowestPreemptibleRank;

  Preemption(CycleState state) {
    this.state = state;
    this.lowestPreemptibleRank = lowestPreemptibleRank(state.machines());
  }

  private static int lowestPreemptibleRank(List<MachineReservations> machines) {
    int lowest = NO_RANK;
    for (MachineReservations machine : machines) {
      if (machine.up()) {
        for (RunningTask task : machine.capacity().running()) {
          lowest = Math.max(lowest, task.preemptible() ? task.rank() : NO_RANK);
        }
      }
    }
    return lowest;
  }

  /**
   * Whether any preemptible task has a lower priority than the job. A higher rank means a lower
   * priority.
   */
  boolean possibleFor(PendingJob job) {
    return job.rank() < lowestPreemptibleRank;
  }

  /**
   * Places a job's tasks on machines after preempting other tasks there.
   *
   * @param tasksToLeave number of tasks to leave unassigned
   */
  void place(JobCursor cursor, int tasksToLeave) {
    PriorityQueue<Candidate> candidates = new PriorityQueue<>(Candidate.BEST_FIRST);
    for (MachineReservations machine : state.machines()) {
      if (cursor.unassignedTasks() > tasksToLeave && state.mayStart(cursor, machine)) {
        addCandidate(candidates, cursor, machine);
      }
    }
    while (cursor.unassignedTasks() > tasksToLeave && !candidates.isEmpty()) {
      Candidate candidate = candidates.poll();
      MachineReservations machine = candidate.machine();
      if (cursor.mayUse(machine)) {
        for (int victim : candidate.victims()) {
          state.preempt(machine, victim);
        }
        state.unavailableSizes().clear();
        state.place(cursor, machine);
        addCandidate(candidates, cursor, machine);
      }
    }
  }

  /**
   * Adds the machine if preempting tasks on it gains more work than it loses. Tasks are chosen in
   * ascending order of lost work until enough capacity is free.
   */
  private void addCandidate(
      PriorityQueue<Candidate> candidates, JobCursor cursor, MachineReservations machine) {
    state.addMachinesExamined(1);
    PendingJob job = cursor.job();
    List<RunningTask> running = machine.capacity().running();
    List<Integer> preemptible = preemptible(job, machine);
    if (preemptible.isEmpty()) {
      return;
    }
    preemptible.sort(Comparator.comparingDouble(i -> running.get(i).lostWork()));
    Resources need = job.requirements().resources();
    Resources free = machine.minFree(job.requirements().estimatedRunTimeMs());
    double lostWork = startDelayMs(job, machine) * need.cores();
    List<Integer> victims = new ArrayList<>();
    for (int task : preemptible) {
      if (free.fits(need)) {
        break;
      }
      free = free.plus(running.get(task).resources().withoutTaskSlots());
      lostWork += running.get(task).lostWork();
      victims.add(task);
    }
    double gainedWork = need.cores() * job.requirements().estimatedRunTimeMs();
    if (free.fits(need) && lostWork < gainedWork) {
      candidates.add(Candidate.preempting(machine, lostWork, victims));
    } else if (free.fits(need)) {
      state.trace().recordObstacle(cursor, DecisionTrace.Obstacle.PREEMPTION_LOSS);
    }
  }

  private static List<Integer> preemptible(PendingJob job, MachineReservations machine) {
    List<RunningTask> running = machine.capacity().running();
    List<Integer> preemptible = new ArrayList<>();
    for (int i = 0; i < running.size(); i++) {
      RunningTask task = running.get(i);
      if (task.preemptible() && task.rank() > job.rank() && !machine.preempted(i)) {
        preemptible.add(i);
      }
    }
    return preemptible;
  }

  /**
   * Returns the delay until a task can start. Commands to stop and start tasks are sent in
   * heartbeat responses, so a machine whose next heartbeat is due soon is preferred.
   */
  private static long startDelayMs(PendingJob job, MachineReservations machine) {
    return machine.fetchMs(job.requirements()) + machine.capacity().nextResponseMs();
  }
}
