package dev.windbend.machine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** The cloud's wire format. */
final class CloudMessages {
  private CloudMessages() {}

  record Types(@JsonProperty("rigs") List<Type> types) {}

  record Type(
      @JsonProperty("label") String name,
      @JsonProperty("cores") double cores,
      @JsonProperty("cards") double gpus,
      @JsonProperty("ram_gb") double memoryGb,
      @JsonProperty("cache_gb") double cacheGb,
      @JsonProperty("pull_gb_per_s") double fetchGbPerSecond,
      @JsonProperty("rate") double onDemandPrice,
      @JsonProperty("low_price") double spotPrice,
      @JsonProperty("ready_s") double bootSeconds,
      @JsonProperty("yards") List<String> zones) {}

  record CreateInstances(
      @JsonProperty("hire") String name,
      @JsonProperty("rig") String type,
      @JsonProperty("yard") String zone,
      @JsonProperty("standby") boolean spot,
      @JsonProperty("how_many") int count) {}

  record InstanceNames(@JsonProperty("trucks") List<String> names) {}

  record InstancePage(
      @JsonProperty("trucks") List<Instance> instances,
      @JsonProperty("has_next") boolean hasMore) {}

  record Instance(
      @JsonProperty("uid") String name,
      @JsonProperty("rig") String type,
      @JsonProperty("yard") String zone,
      @JsonProperty("standby") boolean spot,
      @JsonProperty("status") String status,
      @JsonProperty("age_s") double ageSeconds) {
    boolean failed() {
      return "failed".equals(status);
    }

    OrphanedMachine toOrphanedMachine() {
      return new OrphanedMachine(type, zone, spot);
    }
  }
}
