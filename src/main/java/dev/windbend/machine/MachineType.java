package dev.windbend.machine;

/**
 * A type of machine on offer.
 *
 * @param index dense index
 * @param zones dense indexes of the zones that have it
 * @param bootSeconds how long a machine of it takes to boot (seconds)
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

  /** What a machine has for tasks. */
  record Resources(double cores, double gpus, double memoryGb) {}

  /** What a machine keeps of images, and how fast it fetches them. */
  record ImageCache(double sizeGb, double fetchGbPerSecond) {}

  /** Prices of an hour; they change with time. */
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

  /** Space for images on a machine (GB). */
  public double cacheGb() {
    return cache.sizeGb();
  }

  /** How fast a machine fetches images (GB a second). */
  public double fetchGbPerSecond() {
    return cache.fetchGbPerSecond();
  }

  /** Price of an hour of a machine that is no spot instance. */
  public double onDemandPrice() {
    return prices.onDemand();
  }

  /** Price of an hour of a spot instance. */
  public double spotPrice() {
    return prices.spot();
  }

  /** Whether the zone with this index has it. */
  public boolean isOfferedIn(int zone) {
    for (int offeringZone : zones) {
      if (offeringZone == zone) {
        return true;
      }
    }
    return false;
  }

  /** Whether an empty machine has room for so much. */
  public boolean fits(double cores, double gpus, double memoryGb) {
    return cores <= resources.cores() + ROUNDING_TOLERANCE
        && gpus <= resources.gpus() + ROUNDING_TOLERANCE
        && memoryGb <= resources.memoryGb() + ROUNDING_TOLERANCE;
  }
}
