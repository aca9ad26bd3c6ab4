package dev.windbend.plan;

/**
 * A kind of machine that the cloud rents.
 *
 * @param attributes type, zone and price
 * @param capacity what a machine of this kind has
 * @param bootMs how long it takes to boot
 * @param available whether the cloud may be asked for it now; else it refused it a moment ago, or
 *     the zone is closed
 */
public record InstanceOffer(
    MachineAttributes attributes, Resources capacity, long bootMs, boolean available) {

  /** An offer that the cloud may be asked for now. */
  public InstanceOffer(MachineAttributes kind, Resources capacity, long bootMs) {
    this(kind, capacity, bootMs, true);
  }
}
