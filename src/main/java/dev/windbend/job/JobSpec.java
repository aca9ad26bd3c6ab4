package dev.windbend.job;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** What a user asked for; immutable once accepted. VersionedValue as it is. */
public record JobSpec(
    @JsonProperty("uid") String uid,
    @JsonProperty("kind") String kind,
    @JsonProperty("team") String team,
    @JsonProperty("urgency") Urgency urgency,
    @JsonProperty("tasks") int tasks,
    @JsonProperty("cores") double cores,
    @JsonProperty("cards") double gpus,
    @JsonProperty("ram") double memoryGb,
    @JsonProperty("image") String image,
    @JsonProperty("imageGb") double imageGb,
    @JsonProperty("types") List<String> types,
    @JsonProperty("zone") String zone,
    @JsonProperty("together") boolean together,
    @JsonProperty("spread") boolean spread,
    @JsonProperty("spot") boolean spot,
    @JsonProperty("estimateS") double estimatedRunTimeSeconds,
    @JsonProperty("checkpointS") double checkpointIntervalSeconds,
    @JsonProperty("saveS") double checkpointSaveSeconds,
    @JsonProperty("dueS") Double dueSeconds) {}
