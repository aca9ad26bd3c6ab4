package dev.windbend.plan;

import java.util.ArrayList;
import java.util.List;

/** Requests machines of the cloud for tasks that nothing else is free for in time. */
final class ScaleOutPlanner {
  private static final int NO_OFFER = -1;

  private final CycleState state;
  private final List<InstanceOffer> offers;

  /** By offer. */
  private final int[] requestedByOffer;

  /** Machines before this cycle, by zone. */
  private final int[] machinesInZone;

  private int requestedMachines;

  ScaleOutPlanner(CycleState state) {
    this.state = state;
    this.offers = state.snapshot().offers();
    this.requestedByOffer = new int[offers.size()];
    this.machinesInZone = machinesInZone();
  }

  private int[] machinesInZone() {
    int zones = 0;
    for (InstanceOffer offer : offers) {
      zones = Math.max(zones, offer.attributes().zone() + 1);
    }
    int[] count = new int[zones];
    for (MachineReservations machine : state.machines()) {
      if (machine.attributes().zone() < zones) {
        count[machine.attributes().zone()]++;
      }
    }
    return count;
  }

  /** How long a machine that the job may run on takes to boot, at most. */
  long bootMs(PendingJob job) {
    long bootMs = 0;
    for (InstanceOffer offer : offers) {
      if (job.constraints().allowsType(offer.attributes().type())) {
        bootMs = Math.max(bootMs, offer.bootMs());
      }
    }
    return bootMs;
  }

  /** What a task costs at least on a machine of its own; infinite if one would come too late. */
  double costOfNewMachine(PendingJob job) {
    PendingJob.Requirements task = job.requirements();
    double least = Double.POSITIVE_INFINITY;
    for (InstanceOffer offer : offers) {
      if (offer.available()
          && job.constraints().allows(offer.attributes())
          && offer.capacity().fits(task.resources())
          && state.nowMs() + offer.bootMs() + task.estimatedRunTimeMs()
              <= job.objectives().dueMs()) {
        double cost =
            offer.attributes().pricePerHour() * (task.estimatedRunTimeMs() + offer.bootMs());
        least = Math.min(least, cost);
      }
    }
    return least;
  }

  /**
   * Requests machines for a job's tasks, as many as they need and the cycle may, and reserves them.
   *
   * @param keep how many tasks are left over
   */
  void request(JobCursor cursor, int keep) {
    int maxMachines = state.snapshot().limits().maxNewMachines();
    while (cursor.unassignedTasks() > keep && requestedMachines < maxMachines) {
      int cheapest = cheapestOffer(cursor);
      if (cheapest == NO_OFFER) {
        return;
      }
      InstanceOffer offer = offers.get(cheapest);
      requestedMachines++;
      requestedByOffer[cheapest]++;
      MachineReservations machine = state.addRequested(offer);
      long readyMs = state.nowMs() + offer.bootMs();
      for (int places = offer.capacity().timesFits(cursor.resources());
          places > 0 && cursor.unassignedTasks() > keep && cursor.mayUse(machine);
          places--) {
        state.trace().recordOutlook(cursor, DecisionTrace.Outlook.NEW_MACHINE);
        state.reserve(cursor, machine, readyMs);
        state.addCoresAwaitingMachines(cursor.resources().cores());
      }
    }
  }

  /**
   * The cheapest offer; of two at the same price the one in the zone that had fewer machines before
   * this cycle, so that a cycle needs one request and not one for each zone.
   */
  private int cheapestOffer(JobCursor cursor) {
    int cheapest = NO_OFFER;
    for (int i = 0; i < offers.size(); i++) {
      InstanceOffer offer = offers.get(i);
      if (offer.available()
          && offer.capacity().fits(cursor.resources())
          && cursor.mayUse(offer.attributes())
          && (cheapest == NO_OFFER
              || isPreferred(offer.attributes(), offers.get(cheapest).attributes()))) {
        cheapest = i;
      }
    }
    return cheapest;
  }

  private boolean isPreferred(MachineAttributes kind, MachineAttributes best) {
    return kind.pricePerHour() < best.pricePerHour()
        || (kind.pricePerHour() == best.pricePerHour()
            && machinesInZone[kind.zone()] < machinesInZone[best.zone()]);
  }

  /** What the cycle requests, in the order of the offers. */
  List<SchedulingDecision.RequestedMachines> requests() {
    List<SchedulingDecision.RequestedMachines> requests = new ArrayList<>();
    for (int i = 0; i < requestedByOffer.length; i++) {
      if (requestedByOffer[i] > 0) {
        requests.add(new SchedulingDecision.RequestedMachines(i, requestedByOffer[i]));
      }
    }
    return requests;
  }
}
