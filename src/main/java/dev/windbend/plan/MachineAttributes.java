package dev.windbend.plan;

/**
 * Attributes of a machine on which placement, cost and image transfer time depend.
 *
 * @param type index of the machine type
 * @param zone index of the zone
 * @param spot whether it is a spot instance, which the cloud may reclaim
 * @param pricePerHour price per hour
 * @param fetchGbPerSecond image transfer rate in GB/s; if not above 0, images are available
 *     immediately
 */
public record MachineAttributes(
    int type, int zone, boolean spot, double pricePerHour, double fetchGbPerSecond) {}
