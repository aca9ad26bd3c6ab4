package dev.windbend.plan;

import java.util.HashMap;
import java.util.Map;

/**
 * Recent Average (paper, section 4.1): the mean run time of the last two finished tasks of the same
 * user, else the user's own figure. A "user" is a team's kind of jobs here: a team has several.
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

  /** A task of the user has finished after running for so long. */
  public void recordRunTime(String user, double runSeconds) {
    RunTimes times = recentByUser.computeIfAbsent(user, key -> new RunTimes());
    times.previousSeconds = times.lastSeconds;
    times.lastSeconds = runSeconds;
  }

  /** How long a task runs, in seconds; the user's own figure until two tasks have finished. */
  public double estimatedRunTimeSeconds(String user, double declaredSeconds) {
    RunTimes times = recentByUser.get(user);
    return times == null || times.previousSeconds < 0
        ? declaredSeconds
        : (times.previousSeconds + times.lastSeconds) / 2;
  }

  /**
   * The estimate of a task that has run for so long: it is doubled until the task hasn't outlived
   * it (paper, section 4.2).
   */
  public static double correctedSeconds(double estimatedRunTimeSeconds, double elapsedSeconds) {
    double corrected = Math.max(MIN_ESTIMATE_SECONDS, estimatedRunTimeSeconds);
    while (corrected < elapsedSeconds) {
      corrected *= 2;
    }
    return corrected;
  }
}
