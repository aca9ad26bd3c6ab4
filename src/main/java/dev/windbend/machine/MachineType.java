package dev.windbend.machine;

/**
 * A machine type that the cloud offers.
 *
 * @param index dense index
 * @param zones dense indexes of the zones that offer it
 * @param bootSeconds how long a machine of this type takes to boot
 */
public record MachineType(
    int index,
    String name,
    Resources resources,
    ImageCache cache,
    Prices prices,
    double bootSeconds,
    int[] zones) {
  private static final double ROUNDING_TOLERANCE = 1e-9;

  /** Resources of a machine that are available to tasks. */
  record Resources(double cores, double gpus, double memoryGb) {}

  /** Size of a machine's image cache, and the rate at which it fetches images. */
  record ImageCache(double sizeGb, double fetchGbPerSecond) {}

  /** Prices per hour; they change over time. */
  record Prices(double onDemand, double spot) {}

  /** Cores of a machine. */
  public double cores() {
    return resources.cores();
  }

  /** GPUs of a machine. */
  public double gpus() {
    return resources.gpus();
  }

  /** Memory of a machine (GB). */
  public double memoryGb() {
    return resources.memoryGb();
  }

  /** Size of a machine's image cache (GB). */
  public double cacheGb() {
    return cache.sizeGb();
  }

  /** Rate at which a machine fetches images (GB/s). */
  public double fetchGbPerSecond() {
    return cache.fetchGbPerSecond();
  }

  /** Price per hour of an on-demand instance. */
  public double onDemandPrice() {
    return prices.onDemand();
  }

  /** Price per hour of a spot instance. */
  public double spotPrice() {
    return prices.spot();
  }

  /** Whether the zone with this index offers it. */
  public boolean isOfferedIn(int zone) {
    for (int offeringZone : zones) {
      if (offeringZone == zone) {
        return true;
      }
    }
    return false;
  }

  /** Whether an empty machine has these resources. */
  public boolean fits(double cores, double gpus, double memoryGb) {
    return cores <= resources.cores() + ROUNDING_TOLERANCE
        && gpus <= resources.gpus() + ROUNDING_TOLERANCE
        && memoryGb <= resources.memoryGb() + ROUNDING_TOLERANCE;
  }
}
