package dev.windbend.worker;

/** Reason for the exit of a task, as reported by its worker. */
enum ExitCause {
  /** The task succeeded. */
  COMPLETED,
  /** The task failed with an error. */
  FAILED,
  /** The worker rejected the start: the machine has insufficient free resources. */
  INSUFFICIENT_RESOURCES,
  /** The worker rejected the start: another attempt of the task is on the machine. */
  OTHER_ATTEMPT_PRESENT,
  /** The worker rejected the start: it does not know the job or the task as submitted. */
  UNKNOWN_JOB,
  /** The task was stopped by command, or the reported cause is missing or unrecognized. */
  STOPPED
}
