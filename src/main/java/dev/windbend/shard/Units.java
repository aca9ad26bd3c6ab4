package dev.windbend.shard;

/** Conversion of times, and the tolerance of comparisons of resources. */
final class Units {
  static final double MS_PER_SECOND = 1_000;

  /** Sums of cores or GPUs that differ by less are equal: they are added up in any order. */
  static final double RESOURCE_TOLERANCE = 1e-6;

  private Units() {}

  /** Milliseconds, rounded down. */
  static long toMs(double seconds) {
    return (long) (MS_PER_SECOND * seconds);
  }

  static double toSeconds(long ms) {
    return ms / MS_PER_SECOND;
  }
}
