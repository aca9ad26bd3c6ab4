package dev.windbend.machine;

/** What is known of a machine that no shard has on record, by names. */
public record OrphanedMachine(String type, String zone, boolean spot) {
  /** Whether the request, which has no answer yet, may have brought it. */
  boolean mayBelongTo(ScaleOutRecord request) {
    return request.unanswered()
        && request.spot() == spot
        && request.type().equals(type)
        && request.zone().equals(zone);
  }
}
