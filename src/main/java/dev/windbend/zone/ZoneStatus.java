package dev.windbend.zone;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A zone as the owner of a shard sees it, for operators.
 *
 * @param stateAgeSeconds for how long it has been so
 * @param minReturnInSeconds the least time until it may return, 0: it may, or it is not lost
 * @param otherShardsUnreachable how many other shards have it on record as unreachable
 * @param displacedJobs displaced jobs that do not run again yet
 */
public record ZoneStatus(
    @JsonProperty("shard") int shard,
    @JsonProperty("zone") String zone,
    @JsonProperty("state") ZoneState state,
    @JsonProperty("since_s") long stateAgeSeconds,
    @JsonProperty("heard") int responsive,
    @JsonProperty("silent") int silent,
    @JsonProperty("deaf") int unresponsive,
    @JsonProperty("losses") int losses,
    @JsonProperty("return_in_s") long minReturnInSeconds,
    @JsonProperty("others_lost") int otherShardsUnreachable,
    @JsonProperty("displaced") int displacedJobs) {}
