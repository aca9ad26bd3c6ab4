package dev.windbend.job;

/** Priorities, the highest first. */
public enum Urgency {
  PRODUCTION,
  URGENT,
  STANDARD,
  IDLE
}
