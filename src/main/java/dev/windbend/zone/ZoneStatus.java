package dev.windbend.zone;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Status of a zone as observed by the leader of a shard, for operators.
 *
 * @param stateAgeSeconds how long the zone has been in its state
 * @param minReturnInSeconds minimum time until the zone may return; 0 if it may return now or is
 *     not unreachable
 * @param otherShardsUnreachable number of other shards whose records have the zone as unreachable
 * @param displacedJobs number of displaced jobs that do not run again yet
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
