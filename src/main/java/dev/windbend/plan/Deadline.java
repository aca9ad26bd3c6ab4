package dev.windbend.plan;

/**
 * When a job is due: the next of its time limits that it can still meet. A job that can meet none
 * is hopeless; serving it before one that still can would only make both late.
 *
 * @param dueSeconds from submission
 * @param unattainable whether it can't be met either
 */
public record Deadline(double dueSeconds, boolean unattainable) {

  /**
   * The next limit that can still be met, else the last.
   *
   * @param limitsSeconds ascending, from submission
   * @param ageSeconds time since submission
   * @param estimatedRunTimeSeconds how long the job runs, as estimated
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
