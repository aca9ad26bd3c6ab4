package dev.windbend.plan;

import java.util.HashMap;
import java.util.Map;

/**
 * Recent Average (paper, section 4.1): the mean run time of the last two finished tasks of the same
 * user, else the user's own figure. Our "user" is a team's class of jobs: a team runs several.
 */
public final class Estimates {
  private final Map<String, double[]> recent = new HashMap<>();

  public void finished(String user, double runS) {
    double[] r = recent.computeIfAbsent(user, k -> new double[] {-1, -1});
    r[0] = r[1];
    r[1] = runS;
  }

  public double of(String user, double ownFigureS) {
    double[] r = recent.get(user);
    return r == null || r[0] < 0 ? ownFigureS : (r[0] + r[1]) / 2;
  }

  /** A task outliving its estimate gets it doubled, again and again (paper, section 4.2). */
  public static double corrected(double estimateS, double elapsedS) {
    double e = Math.max(1, estimateS);
    while (e < elapsedS) {
      e *= 2;
    }
    return e;
  }
}
