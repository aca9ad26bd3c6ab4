package dev.windbend.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Idle machines that no task is reserved on: at the end of their paid block they go, those beyond
 * the reserve before it.
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

  /** Indices of the idle machines, in the snapshot's order. */
  List<Integer> idleMachines() {
    List<Integer> indices = new ArrayList<>();
    for (MachineReservations machine : idleMachines) {
      indices.add(machine.index());
    }
    return indices;
  }

  /** Indices of those to give back to the cloud. */
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
