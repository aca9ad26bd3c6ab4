package dev.windbend.job;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Priority classes of jobs, highest priority first. */
public enum Urgency {
  @JsonProperty("PRODUCTION")
  PRODUCTION(0),
  @JsonProperty("URGENT")
  URGENT(1),
  @JsonProperty("STANDARD")
  STANDARD(2),
  @JsonProperty("IDLE")
  IDLE(3);

  private final int rank;

  Urgency(int rank) {
    this.rank = rank;
  }

  /** Returns the rank of the priority; 0 is the highest. */
  public int rank() {
    return rank;
  }
}
