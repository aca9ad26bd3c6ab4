package dev.windbend.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * Keeps displaced tasks out of room into which a displaced task of higher priority fits that is
 * left waiting (docs/zones.md, priority inversion). Without it a shorter task of lower priority is
 * backfilled ahead of a reservation that the longer one would overrun.
 */
final class DisplacedPrecedence {
  private final List<MachineReservations> machines;

  /** By machine of the snapshot; null: no task waits that may use it. */
  private final List<List<Waiting>> waitingByMachine;

  /** Tasks of this rank and size wait. */
  private record Waiting(int rank, Resources size) {
    boolean precedes(int lowerRank, Resources room) {
      return rank < lowerRank && room.fits(size);
    }
  }

  DisplacedPrecedence(List<MachineReservations> machinesOfSnapshot) {
    this.machines = List.copyOf(machinesOfSnapshot);
    this.waitingByMachine = new ArrayList<>();
  }

  /** Whether jobs like this one have precedence: displaced, and in time for one of their limits. */
  static boolean appliesTo(PendingJob job) {
    return job.progress().displaced() && !job.objectives().hopeless();
  }

  /** The job has been served, after all of higher priority; some of its tasks may wait. */
  void served(JobCursor cursor) {
    if (!appliesTo(cursor.job()) || !cursor.leftWaiting()) {
      return;
    }
    if (waitingByMachine.isEmpty()) {
      machines.forEach(machine -> waitingByMachine.add(null));
    }
    Waiting waiting = new Waiting(cursor.job().rank(), cursor.resources());
    for (MachineReservations machine : machines) {
      if (machine.up() && cursor.mayStartOn(machine)) {
        add(machine.index(), waiting);
      }
    }
  }

  private void add(int machine, Waiting waiting) {
    List<Waiting> known = waitingByMachine.get(machine);
    if (known == null) {
      known = new ArrayList<>(1);
      waitingByMachine.set(machine, known);
    }
    for (Waiting other : known) {
      if (other.rank() <= waiting.rank() && waiting.size().fits(other.size())) {
        return;
      }
    }
    known.add(waiting);
  }

  /** Whether the job's tasks have to leave the machine to a waiting task. */
  boolean bars(JobCursor cursor, MachineReservations machine) {
    if (waitingByMachine.isEmpty() || !cursor.job().progress().displaced()) {
      return false;
    }
    List<Waiting> known = waitingByMachine.get(machine.index());
    if (known == null) {
      return false;
    }
    for (Waiting waiting : known) {
      if (waiting.precedes(cursor.job().rank(), cursor.resources())) {
        return true;
      }
    }
    return false;
  }
}
