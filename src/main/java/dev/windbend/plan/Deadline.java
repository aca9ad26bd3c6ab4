package dev.windbend.plan;

/**
 * The deadline of a job: the earliest of its time limits that it can still meet. If it can meet
 * none, the deadline is unattainable; such a job is served after jobs that can still meet theirs,
 * because serving it first would make both late.
 *
 * @param dueSeconds time from submission to the deadline, in seconds
 * @param unattainable whether the job can meet none of its time limits
 */
public record Deadline(double dueSeconds, boolean unattainable) {

  /**
   * Returns the earliest limit that can still be met, or the last limit if none can.
   *
   * @param limitsSeconds time limits in seconds from submission, ascending; at least one
   * @param ageSeconds time since submission, in seconds
   * @param estimatedRunTimeSeconds estimated run time of the job, in seconds
   */
  public static Deadline nextAttainable(
      double[] limitsSeconds, double ageSeconds, double estimatedRunTimeSeconds) {
    for (double limitSeconds : limitsSeconds) {
      if (ageSeconds + estimatedRunTimeSeconds <= limitSeconds) {
        return new Deadline(limitSeconds, false);
      }
    }
    return new Deadline(limitsSeconds[limitsSeconds.length - 1], true);
  }
}
