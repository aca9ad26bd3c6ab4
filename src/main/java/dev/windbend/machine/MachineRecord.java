package dev.windbend.machine;

import com.fasterxml.jackson.annotation.JsonProperty;

/** A machine that was adopted or has changed parts, as stored: which part's it is. */
public record MachineRecord(
    @JsonProperty("part") int part,
    @JsonProperty("type") String type,
    @JsonProperty("zone") String zone,
    @JsonProperty("spot") boolean spot) {
  public static final String KEYS = "w/m/";
}
