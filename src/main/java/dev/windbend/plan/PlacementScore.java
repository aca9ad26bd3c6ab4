package dev.windbend.plan;

import java.util.List;

/**
 * What speaks against placing a task on a machine, in milliseconds of delay that weigh as much. The
 * machine with the lowest score packs best: expensive machines and those with much free capacity
 * are left to run empty, so that they can go.
 */
final class PlacementScore {
  /** A machine at twice the cheapest price is taken only where it saves so much time. */
  private static final double PRICE_PENALTY_MS = 3_000;

  /** Each core that is free on a machine speaks as much against it. */
  private static final double FRAGMENTATION_MS_PER_CORE = 100;

  /** Capacity that is to be free soon may be late by so much. */
  private static final double RELEASE_DELAY_MS = 1_000;

  private final double cheapestPrice;

  PlacementScore(List<MachineReservations> machines) {
    double cheapest = Double.POSITIVE_INFINITY;
    for (MachineReservations machine : machines) {
      cheapest = Math.min(cheapest, machine.attributes().pricePerHour());
    }
    this.cheapestPrice = cheapest;
  }

  /** A task that starts at once, which the machine hears of and has fetched the image for. */
  double scoreImmediateStart(MachineReservations machine, long fetchMs) {
    double delayMs = fetchMs + machine.capacity().nextResponseMs();
    return score(machine, delayMs);
  }

  /** A task that starts once the machine has capacity. */
  double scoreDelayedStart(MachineReservations machine, long waitMs) {
    return score(machine, waitMs + RELEASE_DELAY_MS);
  }

  private double score(MachineReservations machine, double delayMs) {
    return fragmentationPenaltyMs(machine) + delayMs + pricePenaltyMs(machine);
  }

  private static double fragmentationPenaltyMs(MachineReservations machine) {
    return machine.freeNow().cores() * FRAGMENTATION_MS_PER_CORE;
  }

  private double pricePenaltyMs(MachineReservations machine) {
    double expense =
        cheapestPrice > 0 ? machine.attributes().pricePerHour() / cheapestPrice - 1 : 0;
    return PRICE_PENALTY_MS * expense;
  }
}
