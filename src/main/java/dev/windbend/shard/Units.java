package dev.windbend.shard;

/** Time conversions, and the tolerance for comparisons of resources. */
final class Units {
  static final double MS_PER_SECOND = 1_000;

  /**
   * Sums of cores or GPUs that differ by less than this are equal: the rounding error of a sum
   * depends on the order of addition.
   */
  static final double RESOURCE_TOLERANCE = 1e-6;

  private Units() {}

  /** Converts seconds to milliseconds, truncated to a whole number. */
  static long toMs(double seconds) {
    return (long) (MS_PER_SECOND * seconds);
  }

  /** Converts milliseconds to seconds. */
  static double toSeconds(long ms) {
    return ms / MS_PER_SECOND;
  }
}
