package dev.windbend.machine;

/** The least free cores of a machine in this window of time, and in the one before. */
final class FreeCapacityWindow {
  private double minFreeCores;
  private double previousMinFreeCores;

  FreeCapacityWindow(double freeCores) {
    this.minFreeCores = freeCores;
    this.previousMinFreeCores = freeCores;
  }

  /** Begins a new window. */
  void beginWindow(double freeCores) {
    previousMinFreeCores = minFreeCores;
    minFreeCores = freeCores;
  }

  /** So many cores are free from now on. */
  void record(double freeCores) {
    minFreeCores = Math.min(minFreeCores, freeCores);
  }

  /** Cores that were free for a whole window at least. */
  double sustainedFreeCores() {
    return Math.min(previousMinFreeCores, minFreeCores);
  }
}
