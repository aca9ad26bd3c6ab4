package dev.windbend.plan;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;

/**
 * Prevents priority inversion among displaced tasks (docs/zones.md): a displaced task does not
 * start in capacity into which a waiting displaced task of higher priority fits. Without this rule,
 * a shorter task of lower priority could be backfilled ahead of a reservation that the longer task
 * of higher priority would overrun.
 */
final class DisplacedPrecedence {
  private final List<MachineReservations> machines;

  /** Waiting tasks by index of each machine that they may use. */
  private final Int2ObjectOpenHashMap<List<WaitingTask>> waitingByMachine =
      new Int2ObjectOpenHashMap<>();

  /** Rank and size of waiting tasks of a job. */
  private record WaitingTask(int rank, Resources size) {
    boolean precedes(int lowerRank, Resources lowerSize) {
      return rank < lowerRank && lowerSize.fits(size);
    }
  }

  DisplacedPrecedence(List<MachineReservations> machines) {
    this.machines = machines;
  }

  /**
   * Whether the job's tasks have precedence: the job is displaced and can still meet one of its
   * time limits.
   */
  static boolean appliesTo(PendingJob job) {
    return job.progress().displaced() && !job.objectives().unattainable();
  }

  /**
   * Records the tasks that a served job leaves waiting. Jobs of higher priority must have been
   * served before.
   */
  void recordServed(JobCursor cursor) {
    if (!appliesTo(cursor.job()) || !cursor.leftWaiting()) {
      return;
    }
    WaitingTask waiting = new WaitingTask(cursor.job().rank(), cursor.resources());
    for (MachineReservations machine : machines) {
      if (machine.up() && cursor.mayStartOn(machine)) {
        add(machine.index(), waiting);
      }
    }
  }

  private void add(int machine, WaitingTask waiting) {
    List<WaitingTask> existing =
        waitingByMachine.computeIfAbsent(machine, key -> new ArrayList<>(1));
    for (WaitingTask other : existing) {
      if (other.rank() <= waiting.rank() && waiting.size().fits(other.size())) {
        return;
      }
    }
    existing.add(waiting);
  }

  /**
   * Whether the job's tasks must not start on the machine because a waiting task has precedence
   * there.
   */
  boolean blocks(JobCursor cursor, MachineReservations machine) {
    if (waitingByMachine.isEmpty() || !cursor.job().progress().displaced()) {
      return false;
    }
    for (WaitingTask waiting : waitingByMachine.getOrDefault(machine.index(), List.of())) {
      if (waiting.precedes(cursor.job().rank(), cursor.resources())) {
        return true;
      }
    }
    return false;
  }
}
