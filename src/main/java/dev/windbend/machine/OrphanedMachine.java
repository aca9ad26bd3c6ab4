package dev.windbend.machine;

/** Kind of a machine that no shard has on record; type and zone by name. */
public record OrphanedMachine(String type, String zone, boolean spot) {
  /** Whether this is an unanswered request that may have created the machine. */
  boolean mayBelongTo(ScaleOutRecord request) {
    return request.unanswered()
        && request.spot() == spot
        && request.type().equals(type)
        && request.zone().equals(zone);
  }
}
