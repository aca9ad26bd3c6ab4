package dev.windbend.plan;

import java.util.List;

/**
 * Penalty for placing a task on a machine, expressed as an equivalent delay in milliseconds. The
 * machine with the lowest score is preferred. Expensive machines and machines with much free
 * capacity score high, so that they become idle and can be released.
 */
final class PlacementScore {
  /**
   * Penalty for a machine at twice the cheapest price: it is preferred only if it saves more than
   * this time.
   */
  private static final double PRICE_PENALTY_MS = 3_000;

  /** Penalty for each core that is free on the machine. */
  private static final double FRAGMENTATION_MS_PER_CORE = 100;

  /** Allowance for capacity that becomes free later than expected. */
  private static final double RELEASE_DELAY_MS = 1_000;

  private final double cheapestPrice;

  PlacementScore(List<MachineReservations> machines) {
    double cheapest = Double.POSITIVE_INFINITY;
    for (MachineReservations machine : machines) {
      cheapest = Math.min(cheapest, machine.attributes().pricePerHour());
    }
    this.cheapestPrice = cheapest;
  }

  /**
   * Returns the score of a task that starts now; the delay consists of the image fetch and the time
   * until the machine receives the command.
   */
  double scoreImmediateStart(MachineReservations machine, long fetchMs) {
    double delayMs = fetchMs + machine.capacity().nextResponseMs();
    return score(machine, delayMs);
  }

  /**
   * Returns the score of a task that starts when the machine becomes free, after the given wait.
   */
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
    double relativePremium =
        cheapestPrice > 0 ? machine.attributes().pricePerHour() / cheapestPrice - 1 : 0;
    return PRICE_PENALTY_MS * relativePremium;
  }
}
