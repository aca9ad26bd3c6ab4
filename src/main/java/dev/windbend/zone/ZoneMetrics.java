package dev.windbend.zone;

import dev.windbend.job.Urgency;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What a node counts and measures of lost zones, over all its shards. */
public final class ZoneMetrics {
  /** Longer ones count as this long. */
  private static final long LONGEST_MS = 3_600_000;

  private static final int DIGITS = 2;
  private static final double MEDIAN = 50;
  private static final double TAIL = 99;

  private final Map<Urgency, Histogram> runsAgainMs = new EnumMap<>(Urgency.class);
  private long losses;
  private long relapses;
  private long evacuated;
  private long takenBack;

  void lost(boolean relapse) {
    losses++;
    relapses += relapse ? 1 : 0;
  }

  void evacuated(int machines) {
    evacuated += machines;
  }

  void takenBack(int machines) {
    takenBack += machines;
  }

  /** All tasks of a displaced job run again, so long after the loss of the zone. */
  void runsAgain(Urgency urgency, long afterMs) {
    runsAgainMs
        .computeIfAbsent(urgency, u -> new Histogram(LONGEST_MS, DIGITS))
        .recordValue(Math.min(LONGEST_MS, Math.max(0, afterMs)));
  }

  /** By name, for operators. */
  public Map<String, Double> values() {
    Map<String, Double> all = new TreeMap<>();
    all.put("windbend.zone.losses", (double) losses);
    all.put("windbend.zone.relapses", (double) relapses);
    all.put("windbend.zone.evacuated", (double) evacuated);
    all.put("windbend.zone.taken_back", (double) takenBack);
    runsAgainMs.forEach(
        (urgency, histogram) -> {
          String name =
              "windbend.zone.runs_again_ms." + urgency.name().toLowerCase(java.util.Locale.ROOT);
          all.put(name + ".count", (double) histogram.getTotalCount());
          all.put(name + ".p50", (double) histogram.getValueAtPercentile(MEDIAN));
          all.put(name + ".p99", (double) histogram.getValueAtPercentile(TAIL));
          all.put(name + ".max", (double) histogram.getMaxValue());
        });
    return all;
  }
}
