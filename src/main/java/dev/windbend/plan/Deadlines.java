package dev.windbend.plan;

/**
 * When a job is due: the next of its class's time limits that it can still meet. A job that can
 * meet none is hopeless; serving it before one that still can would only make both late.
 */
public record Deadlines(double dueS, boolean hopeless) {

  /**
   * The next limit that can still be met.
   *
   * @param limitsS ascending, from submission
   */
  public static Deadlines next(double[] limitsS, double ageS, double estimateS) {
    for (double limit : limitsS) {
      if (ageS + estimateS <= limit) {
        return new Deadlines(limit, false);
      }
    }
    return new Deadlines(limitsS[limitsS.length - 1], true);
  }
}
