package dev.windbend.plan;

import java.util.ArrayList;
import java.util.List;

/** Requests machines from the cloud for tasks for which no other capacity becomes free in time. */
final class ScaleOutPlanner {
  private static final int NO_OFFER = -1;

  private final CycleState state;
  private final List<InstanceOffer> offers;

  /** Number of machines requested in this cycle, by index of the offer. */
  private final int[] requestedByOffer;

  /** Number of machines at the start of this cycle, by zone. */
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

  /**
   * Returns the longest boot time among the offers whose machine type the job allows, in
   * milliseconds.
   */
  long bootMs(PendingJob job) {
    long bootMs = 0;
    for (InstanceOffer offer : offers) {
      if (job.constraints().allowsType(offer.attributes().type())) {
        bootMs = Math.max(bootMs, offer.bootMs());
      }
    }
    return bootMs;
  }

  /**
   * Returns the lowest cost of running a task on a new machine; infinite if no suitable machine is
   * offered or the task would end after its deadline.
   */
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
   * Requests machines for a job's tasks, up to the limit of the cycle, and reserves capacity on
   * them.
   *
   * @param tasksToLeave number of tasks to leave unassigned
   */
  void request(JobCursor cursor, int tasksToLeave) {
    int maxMachines = state.snapshot().limits().maxNewMachines();
    while (cursor.unassignedTasks() > tasksToLeave && requestedMachines < maxMachines) {
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
          places > 0 && cursor.unassignedTasks() > tasksToLeave && cursor.mayUse(machine);
          places--) {
        state.trace().recordOutlook(cursor, DecisionTrace.Outlook.NEW_MACHINE);
        state.reserve(cursor, machine, readyMs);
        state.addCoresAwaitingMachines(cursor.resources().cores());
      }
    }
  }

  /**
   * Returns the index of the cheapest offer; {@link #NO_OFFER} if none is suitable. At the same
   * price, the zone that had fewer machines at the start of the cycle is preferred. Machines
   * requested in the same cycle are not counted, so that one request is sent instead of one per
   * zone.
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

  private boolean isPreferred(MachineAttributes attributes, MachineAttributes best) {
    return attributes.pricePerHour() < best.pricePerHour()
        || (attributes.pricePerHour() == best.pricePerHour()
            && machinesInZone[attributes.zone()] < machinesInZone[best.zone()]);
  }

  /** Returns the machines that the cycle requests, in the order of the offers. */
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
