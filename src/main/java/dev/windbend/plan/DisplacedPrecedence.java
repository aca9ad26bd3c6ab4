package dev.windbend.plan;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;

/**
 * Keeps displaced tasks out of room into which a displaced task of higher priority fits that is
 * left waiting (docs/zones.md, priority inversion). Without it a shorter task of lower priority is
 * backfilled ahead of a reservation that the longer one would overrun.
 */
final class DisplacedPrecedence {
  private final List<MachineReservations> machines;

  /** By index of the machine, for those that waiting tasks may use. */
  private final Int2ObjectOpenHashMap<List<WaitingTask>> waitingByMachine =
      new Int2ObjectOpenHashMap<>();

  /** Tasks of this rank and size wait. */
  private record WaitingTask(int rank, Resources size) {
    boolean precedes(int lowerRank, Resources room) {
      return rank < lowerRank && room.fits(size);
    }
  }

  DisplacedPrecedence(List<MachineReservations> machines) {
    this.machines = machines;
  }

  /** Whether jobs like this one have precedence: displaced, and in time for one of their limits. */
  static boolean appliesTo(PendingJob job) {
    return job.progress().displaced() && !job.objectives().unattainable();
  }

  /** The job has been served, after all of higher priority; some of its tasks may wait. */
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
    List<WaitingTask> known = waitingByMachine.computeIfAbsent(machine, key -> new ArrayList<>(1));
    for (WaitingTask other : known) {
      if (other.rank() <= waiting.rank() && waiting.size().fits(other.size())) {
        return;
      }
    }
    known.add(waiting);
  }

  /** Whether the job's tasks have to leave the machine to a waiting task. */
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
