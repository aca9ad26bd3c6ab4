package dev.windbend.machine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** JSON messages of the cloud API. */
final class CloudMessages {
  private CloudMessages() {}

  /** Response: the machine types on offer. */
  record Types(@JsonProperty("rigs") List<Type> types) {}

  /**
   * A machine type on offer.
   *
   * @param fetchGbPerSecond rate at which a machine fetches images
   * @param onDemandPrice price per hour of an on-demand instance
   * @param spotPrice price per hour of a spot instance
   * @param bootSeconds how long a machine takes to boot
   * @param zones names of the zones that offer the type
   */
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

  /**
   * Request: creates instances.
   *
   * @param name idempotency key of the request
   */
  record CreateInstances(
      @JsonProperty("hire") String name,
      @JsonProperty("rig") String type,
      @JsonProperty("yard") String zone,
      @JsonProperty("standby") boolean spot,
      @JsonProperty("how_many") int count) {}

  /** Names of instances: those created (response) or to terminate (request). */
  record InstanceNames(@JsonProperty("trucks") List<String> names) {}

  /**
   * Response: one page of the list of instances.
   *
   * @param hasMore whether further pages follow
   */
  record InstancePage(
      @JsonProperty("trucks") List<Instance> instances,
      @JsonProperty("has_next") boolean hasMore) {}

  /**
   * One entry of the list of instances.
   *
   * @param status state of the instance in the cloud's terms, for instance running or failed
   * @param ageSeconds time since the instance was created
   */
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
