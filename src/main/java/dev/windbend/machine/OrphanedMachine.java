package dev.windbend.machine;

/** What is known of a machine that no shard has on record. */
public record OrphanedMachine(String type, String zone, boolean spot) {
  /** It could be one that this rental brings. */
  boolean mayBelongTo(ScaleOutRecord hire) {
    return hire.open()
        && hire.spot() == spot
        && hire.type().equals(type)
        && hire.zone().equals(zone);
  }
}
