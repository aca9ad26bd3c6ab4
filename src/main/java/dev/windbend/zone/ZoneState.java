package dev.windbend.zone;

import com.fasterxml.jackson.annotation.JsonProperty;

/** State of a zone, as observed by the leader of a shard. */
public enum ZoneState {
  /** Its machines send heartbeats and receive the leader's responses. */
  @JsonProperty("healthy")
  HEALTHY,

  /** Some of its machines are lost; the others are used as usual. */
  @JsonProperty("degraded")
  DEGRADED,

  /** Nearly all of its machines are lost to this leader: no placement and no scale-out there. */
  @JsonProperty("unreachable")
  UNREACHABLE,

  /** Its machines are responsive again and are reopened to new work gradually. */
  @JsonProperty("returning")
  RETURNING;

  /** Returns the state's name in lower case, for log lines. */
  public String label() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
