package dev.windbend.machine;

import com.fasterxml.jackson.annotation.JsonProperty;

/** A rental as stored, from before the cloud is asked until all its machines have records. */
public record HireRecord(
    @JsonProperty("type") String type,
    @JsonProperty("zone") String zone,
    @JsonProperty("spot") boolean spot,
    @JsonProperty("count") int count) {
  /** Below it: part, then the rental's name. */
  public static final String KEYS = "w/h/";

  public static String prefix(int part) {
    return KEYS + part + "/";
  }
}
