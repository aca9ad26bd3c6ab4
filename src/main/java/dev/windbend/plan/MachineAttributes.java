package dev.windbend.plan;

/**
 * A kind of machine, as far as placement, prices and image transfers go by it.
 *
 * @param type the machine type's index
 * @param zone the zone's index
 * @param spot a spot instance, which the cloud may recall
 * @param pricePerHour what it costs
 * @param fetchGbPerSecond how fast it fetches images; not above 0: at once
 */
public record MachineAttributes(
    int type, int zone, boolean spot, double pricePerHour, double fetchGbPerSecond) {}
