package dev.windbend.worker;

/** Why a task has exited, as its worker says. */
enum ExitCause {
  /** It ended with success. */
  COMPLETED,
  /** It ended with an error. */
  FAILED,
  /** The worker refused its start: the machine lacks the resources. */
  INSUFFICIENT_RESOURCES,
  /** The worker refused its start: another attempt of the task is on the machine. */
  OTHER_ATTEMPT_PRESENT,
  /** The worker refused its start: the job or the task is not known to it as submitted. */
  UNKNOWN_JOB,
  /** It was stopped as ordered, or its cause is missing or not known here. */
  STOPPED
}
