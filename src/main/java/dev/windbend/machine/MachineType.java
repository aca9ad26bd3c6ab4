package dev.windbend.machine;

/** A type of machine on offer. Prices are per hour and move; zones are indices. */
public record MachineType(
    int index,
    String name,
    double cores,
    double gpus,
    double memoryGb,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    double bootS,
    int[] zones) {

  public boolean in(int zone) {
    for (int z : zones) {
      if (z == zone) {
        return true;
      }
    }
    return false;
  }

  public boolean fits(double c, double g, double r) {
    return c <= cores + 1e-9 && g <= gpus + 1e-9 && r <= memoryGb + 1e-9;
  }
}
