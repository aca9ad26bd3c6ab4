package dev.windbend.plan;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates run times by the Recent Average method (paper, section 4.1): the mean run time of the
 * last two finished tasks of the same user, or the declared run time until two tasks have finished.
 * A "user" of the paper corresponds to one class of jobs of a team; a team has several classes.
 */
public final class RunTimeEstimates {
  private static final double NO_RUN_TIME = -1;
  private static final double MIN_ESTIMATE_SECONDS = 1;

  private final Map<String, RunTimes> recentByUser = new HashMap<>();

  /** The last two run times of a user. */
  private static final class RunTimes {
    private double previousSeconds = NO_RUN_TIME;
    private double lastSeconds = NO_RUN_TIME;
  }

  /** Records the run time of a finished task of the user, in seconds. */
  public void recordRunTime(String user, double runSeconds) {
    RunTimes times = recentByUser.computeIfAbsent(user, key -> new RunTimes());
    times.previousSeconds = times.lastSeconds;
    times.lastSeconds = runSeconds;
  }

  /**
   * Returns the estimated run time of a task in seconds: the mean of the last two run times of the
   * user, or the declared run time until two tasks have finished.
   */
  public double estimatedRunTimeSeconds(String user, double declaredSeconds) {
    RunTimes times = recentByUser.get(user);
    return times == null || times.previousSeconds < 0
        ? declaredSeconds
        : (times.previousSeconds + times.lastSeconds) / 2;
  }

  /**
   * Corrects the estimated run time of a running task: doubles the estimate until it is at least
   * the elapsed time (paper, section 4.2).
   */
  public static double correctedSeconds(double estimatedRunTimeSeconds, double elapsedSeconds) {
    double corrected = Math.max(MIN_ESTIMATE_SECONDS, estimatedRunTimeSeconds);
    while (corrected < elapsedSeconds) {
      corrected *= 2;
    }
    return corrected;
  }
}
