package dev.windbend.zone;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A zone as the owner of a shard sees it, for operators.
 *
 * @param sinceS for how long it has been so
 * @param returnInS the least time until it may return, 0: it may, or it is not lost
 * @param othersLost how many other shards have it on record as unreachable
 * @param waiting displaced jobs that do not run again yet
 */
public record ZoneStatus(
    @JsonProperty("shard") int shard,
    @JsonProperty("zone") String zone,
    @JsonProperty("state") ZoneState state,
    @JsonProperty("since_s") long sinceS,
    @JsonProperty("heard") int heard,
    @JsonProperty("silent") int silent,
    @JsonProperty("deaf") int deaf,
    @JsonProperty("losses") int losses,
    @JsonProperty("return_in_s") long returnInS,
    @JsonProperty("others_lost") int othersLost,
    @JsonProperty("displaced") int waiting) {}
