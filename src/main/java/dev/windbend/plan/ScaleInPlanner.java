package dev.windbend.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Selects idle machines without reservations for release: each at the end of its paid block, and
 * machines beyond the reserve before that.
 */
final class ScaleInPlanner {
  private static final Comparator<MachineReservations> MOST_EXPENSIVE_FIRST =
      Comparator.comparingDouble(machine -> -machine.attributes().pricePerHour());

  private final Snapshot snapshot;
  private final List<MachineReservations> idleMachines = new ArrayList<>();

  ScaleInPlanner(CycleState state) {
    this.snapshot = state.snapshot();
    for (MachineReservations machine : state.machines()) {
      if (machine.up() && machine.capacity().lifetime().idle() && !machine.reserved()) {
        idleMachines.add(machine);
      }
    }
  }

  /** Returns the indices of idle machines without reservations, in snapshot order. */
  List<Integer> idleMachines() {
    List<Integer> indices = new ArrayList<>();
    for (MachineReservations machine : idleMachines) {
      indices.add(machine.index());
    }
    return indices;
  }

  /** Returns the indices of the idle machines to release, most expensive first. */
  List<Integer> machinesToRelease() {
    List<Integer> released = new ArrayList<>();
    double coresBeyondReserve = -snapshot.reserveCores();
    for (MachineReservations machine : idleMachines) {
      coresBeyondReserve += machine.freeNow().cores();
    }
    List<MachineReservations> candidates = new ArrayList<>(idleMachines);
    candidates.sort(MOST_EXPENSIVE_FIRST);
    for (MachineReservations machine : candidates) {
      MachineCapacity.Lifetime lifetime = machine.capacity().lifetime();
      double cores = machine.freeNow().cores();
      boolean beyondReserve =
          coresBeyondReserve >= cores && lifetime.releasableFromMs() <= snapshot.nowMs();
      if (lifetime.paidUntilMs() <= snapshot.nowMs() || beyondReserve) {
        released.add(machine.index());
        coresBeyondReserve -= cores;
      }
    }
    return released;
  }
}
