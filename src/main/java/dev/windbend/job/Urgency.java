package dev.windbend.job;

/** Priorities, the highest first. */
public enum Urgency {
  PRODUCTION(0),
  URGENT(1),
  STANDARD(2),
  IDLE(3);

  private final int rank;

  Urgency(int rank) {
    this.rank = rank;
  }

  /** 0 is the highest priority. */
  public int rank() {
    return rank;
  }
}
