package dev.windbend.job;

/** Values of the job status that users receive. */
final class JobStatus {
  static final String PENDING = "pending";
  static final String RUNNING = "running";
  static final String DONE = "done";
  static final String CANCELLED = "aborted";

  private JobStatus() {}
}
