package dev.windbend.plan;

/**
 * A kind of machine that the cloud rents.
 *
 * @param kind type, zone and price
 * @param capacity what a machine of this kind has
 * @param bootMs how long it takes to boot
 * @param available whether the cloud may be asked for it now; else it refused it a moment ago, or
 *     the zone is closed
 */
public record InstanceOffer(InstanceKind kind, Resources capacity, long bootMs, boolean available) {

  /** An offer that the cloud may be asked for now. */
  public InstanceOffer(InstanceKind kind, Resources capacity, long bootMs) {
    this(kind, capacity, bootMs, true);
  }
}
