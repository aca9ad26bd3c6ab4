package dev.windbend.machine;

/** What is known of a machine that no shard has on record. */
public record UnknownMachine(String type, String zone, boolean spot) {
  /** It could be one that this rental brings. */
  boolean mayBelongTo(RentalRecord hire) {
    return hire.open()
        && hire.spot() == spot
        && hire.type().equals(type)
        && hire.zone().equals(zone);
  }
}
