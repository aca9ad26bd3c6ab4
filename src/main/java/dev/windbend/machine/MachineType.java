package dev.windbend.machine;

/**
 * A type of machine on offer.
 *
 * @param index dense index
 * @param zones dense indexes of the zones that have it
 * @param bootS how long a machine of it takes to boot (seconds)
 */
public record MachineType(
    int index, String name, Size size, ImageCache cache, Prices prices, double bootS, int[] zones) {
  private static final double ROUNDING = 1e-9;

  /** What a machine has for tasks. */
  record Size(double cores, double gpus, double memoryGb) {}

  /** What a machine keeps of images, and how fast it fetches them. */
  record ImageCache(double sizeGb, double fetchGbPerS) {}

  /** Prices of an hour; they change with time. */
  record Prices(double regular, double spot) {}

  /** Cores of a machine. */
  public double cores() {
    return size.cores();
  }

  /** GPUs of a machine. */
  public double gpus() {
    return size.gpus();
  }

  /** Memory of a machine (GB). */
  public double memoryGb() {
    return size.memoryGb();
  }

  /** Space for images on a machine (GB). */
  public double cacheGb() {
    return cache.sizeGb();
  }

  /** How fast a machine fetches images (GB a second). */
  public double fetchGbPerS() {
    return cache.fetchGbPerS();
  }

  /** Price of an hour of a machine that is no spot instance. */
  public double price() {
    return prices.regular();
  }

  /** Price of an hour of a spot instance. */
  public double spotPrice() {
    return prices.spot();
  }

  /** Whether the zone with this index has it. */
  public boolean in(int zone) {
    for (int offering : zones) {
      if (offering == zone) {
        return true;
      }
    }
    return false;
  }

  /** Whether an empty machine has room for so much. */
  public boolean fits(double cores, double gpus, double memoryGb) {
    return cores <= size.cores() + ROUNDING
        && gpus <= size.gpus() + ROUNDING
        && memoryGb <= size.memoryGb() + ROUNDING;
  }
}
