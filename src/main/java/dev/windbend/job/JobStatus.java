package dev.windbend.job;

/** The states users are told. */
final class JobStatus {
  static final String PENDING = "pending";
  static final String RUNNING = "running";
  static final String DONE = "done";
  static final String CANCELLED = "aborted";

  private JobStatus() {}
}
