package dev.windbend.plan;

import java.util.HashMap;
import java.util.Map;

/**
 * Recent Average (paper, section 4.1): the mean run time of the last two finished tasks of the same
 * user, else the user's own figure. A "user" is a team's kind of jobs here: a team has several.
 */
public final class Estimates {
  private static final double NONE = -1;
  private static final double MIN_SECONDS = 1;

  private final Map<String, RunTimes> recent = new HashMap<>();

  /** The last two run times of a user. */
  private static final class RunTimes {
    private double previousSeconds = NONE;
    private double lastSeconds = NONE;
  }

  /** A task of the user has finished after running for so long. */
  public void recordRunTime(String user, double runSeconds) {
    RunTimes times = recent.computeIfAbsent(user, key -> new RunTimes());
    times.previousSeconds = times.lastSeconds;
    times.lastSeconds = runSeconds;
  }

  /** How long a task runs, in seconds; the user's own figure until two tasks have finished. */
  public double estimateSeconds(String user, double ownFigureSeconds) {
    RunTimes times = recent.get(user);
    return times == null || times.previousSeconds < 0
        ? ownFigureSeconds
        : (times.previousSeconds + times.lastSeconds) / 2;
  }

  /**
   * The estimate of a task that has run for so long: it is doubled until the task hasn't outlived
   * it (paper, section 4.2).
   */
  public static double correctedSeconds(double estimateSeconds, double elapsedSeconds) {
    double corrected = Math.max(MIN_SECONDS, estimateSeconds);
    while (corrected < elapsedSeconds) {
      corrected *= 2;
    }
    return corrected;
  }
}
