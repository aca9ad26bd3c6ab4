package dev.windbend.job;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Priority classes of jobs, highest priority first. */
public enum Urgency {
  /** May preempt all lower priorities. */
  @JsonProperty("PRODUCTION")
  PRODUCTION(0),

  /** May preempt standard and idle work. */
  @JsonProperty("URGENT")
  URGENT(1),

  /** May preempt idle work. */
  @JsonProperty("STANDARD")
  STANDARD(2),

  /** Preempts nothing. */
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
