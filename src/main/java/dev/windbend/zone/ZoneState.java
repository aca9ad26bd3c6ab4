package dev.windbend.zone;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How a zone stands, as the owner of a shard sees it. */
public enum ZoneState {
  /** Its machines report and hear us. */
  @JsonProperty("healthy")
  HEALTHY,

  /** Some of its machines are lost; the others are used as always. */
  @JsonProperty("degraded")
  DEGRADED,

  /** Nearly all of its machines are lost to this owner: nothing is placed or rented there. */
  @JsonProperty("unreachable")
  UNREACHABLE,

  /** It reports again and is taken back gradually. */
  @JsonProperty("returning")
  RETURNING;

  /** For logs and metrics. */
  public String label() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
