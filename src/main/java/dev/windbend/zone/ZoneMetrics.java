package dev.windbend.zone;

import dev.windbend.job.Urgency;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Metrics of zone losses, over all shards that the controller leads. */
public final class ZoneMetrics {
  /** Longer times are recorded as this value. */
  private static final long MAX_RECORDED_MS = 3_600_000;

  private static final int SIGNIFICANT_DIGITS = 2;
  private static final double MEDIAN_PERCENTILE = 50;
  private static final double TAIL_PERCENTILE = 99;

  private final Map<Urgency, Histogram> restartTimesMs = new EnumMap<>(Urgency.class);
  private long losses;
  private long lossesWhileReturning;
  private long evacuatedMachines;
  private long readmittedMachines;

  void recordLoss(boolean whileReturning) {
    losses++;
    lossesWhileReturning += whileReturning ? 1 : 0;
  }

  void recordEvacuatedMachines(int machines) {
    evacuatedMachines += machines;
  }

  void recordReadmittedMachines(int machines) {
    readmittedMachines += machines;
  }

  /**
   * Records that all tasks of a displaced job run again.
   *
   * @param restartTimeMs time since the loss of the zone
   */
  void recordJobRestarted(Urgency urgency, long restartTimeMs) {
    restartTimesMs
        .computeIfAbsent(urgency, u -> new Histogram(MAX_RECORDED_MS, SIGNIFICANT_DIGITS))
        .recordValue(Math.min(MAX_RECORDED_MS, Math.max(0, restartTimeMs)));
  }

  /** Returns the metrics by name, for operators. */
  public Map<String, Double> values() {
    Map<String, Double> values = new TreeMap<>();
    values.put("windbend.zone.losses", (double) losses);
    values.put("windbend.zone.relapses", (double) lossesWhileReturning);
    values.put("windbend.zone.evacuated", (double) evacuatedMachines);
    values.put("windbend.zone.taken_back", (double) readmittedMachines);
    restartTimesMs.forEach(
        (urgency, histogram) -> {
          String name =
              "windbend.zone.runs_again_ms." + urgency.name().toLowerCase(java.util.Locale.ROOT);
          values.put(name + ".count", (double) histogram.getTotalCount());
          values.put(name + ".p50", (double) histogram.getValueAtPercentile(MEDIAN_PERCENTILE));
          values.put(name + ".p99", (double) histogram.getValueAtPercentile(TAIL_PERCENTILE));
          values.put(name + ".max", (double) histogram.getMaxValue());
        });
    return values;
  }
}
