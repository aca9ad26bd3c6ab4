package dev.windbend.machine;

/** Minimum of a machine's free cores within the current time window and the previous one. */
final class FreeCapacityWindow {
  private double minFreeCores;
  private double previousMinFreeCores;

  FreeCapacityWindow(double freeCores) {
    this.minFreeCores = freeCores;
    this.previousMinFreeCores = freeCores;
  }

  /**
   * Starts a new window.
   *
   * @param freeCores cores that are free at its start
   */
  void beginWindow(double freeCores) {
    previousMinFreeCores = minFreeCores;
    minFreeCores = freeCores;
  }

  /** Records the number of free cores after a change. */
  void record(double freeCores) {
    minFreeCores = Math.min(minFreeCores, freeCores);
  }

  /** Cores that have been free throughout the current and the previous window. */
  double sustainedFreeCores() {
    return Math.min(previousMinFreeCores, minFreeCores);
  }
}
