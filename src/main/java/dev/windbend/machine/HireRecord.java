package dev.windbend.machine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** A rental as stored; {@code machines} is null until the cloud has answered. */
public record HireRecord(
    @JsonProperty("type") String type,
    @JsonProperty("zone") String zone,
    @JsonProperty("spot") boolean spot,
    @JsonProperty("count") int count,
    @JsonProperty("machines") List<String> machines) {
  /** Below it: part, then the rental's name. */
  public static final String KEYS = "w/h/";

  public static String prefix(int part) {
    return KEYS + part + "/";
  }
}
