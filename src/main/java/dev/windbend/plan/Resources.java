package dev.windbend.plan;

/**
 * What a task needs or a machine has. Sums may be negative.
 *
 * @param cores processor cores, in parts too
 * @param gpus GPUs, in parts too
 * @param memoryGb memory
 */
public record Resources(double cores, double gpus, double memoryGb) {
  /** Nothing of anything. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Amounts that differ by less are equal: sums depend on the order of their terms. */
  private static final double TOLERANCE = 1e-6;

  /** More tasks than any job has. */
  private static final double UNLIMITED = 1e9;

  /** The sum of both. */
  public Resources plus(Resources other) {
    return new Resources(cores + other.cores, gpus + other.gpus, memoryGb + other.memoryGb);
  }

  /** What is left of this without the other. */
  public Resources minus(Resources other) {
    return new Resources(cores - other.cores, gpus - other.gpus, memoryGb - other.memoryGb);
  }

  /** The lesser amount of each. */
  public Resources min(Resources other) {
    return new Resources(
        Math.min(cores, other.cores),
        Math.min(gpus, other.gpus),
        Math.min(memoryGb, other.memoryGb));
  }

  /** How many times the need fits into this; what it needs none of doesn't count. */
  public int timesFits(Resources need) {
    double times = UNLIMITED;
    times = need.cores > 0 ? Math.min(times, (cores + TOLERANCE) / need.cores) : times;
    times = need.gpus > 0 ? Math.min(times, (gpus + TOLERANCE) / need.gpus) : times;
    times = need.memoryGb > 0 ? Math.min(times, (memoryGb + TOLERANCE) / need.memoryGb) : times;
    return (int) times;
  }

  /** Whether the need fits into this. */
  public boolean fits(Resources need) {
    return cores + TOLERANCE >= need.cores
        && gpus + TOLERANCE >= need.gpus
        && memoryGb + TOLERANCE >= need.memoryGb;
  }
}
