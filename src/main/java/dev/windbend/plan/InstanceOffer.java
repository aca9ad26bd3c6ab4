package dev.windbend.plan;

/**
 * A combination of machine type, zone and price that the cloud offers.
 *
 * @param attributes type, zone and price of the machines
 * @param capacity resources of each machine
 * @param bootMs boot time in milliseconds
 * @param available whether such machines may be requested now; false if the cloud has recently
 *     refused them or the zone is closed
 */
public record InstanceOffer(
    MachineAttributes attributes, Resources capacity, long bootMs, boolean available) {

  /** Creates an offer whose machines may be requested now. */
  public InstanceOffer(MachineAttributes attributes, Resources capacity, long bootMs) {
    this(attributes, capacity, bootMs, true);
  }
}
