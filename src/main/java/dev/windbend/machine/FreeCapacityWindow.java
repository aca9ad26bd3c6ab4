package dev.windbend.machine;

/** The least free cores of a machine in this window of time, and in the one before. */
final class FreeCapacityWindow {
  private double leastFreeCores;
  private double leastFreeCoresBefore;

  FreeCapacityWindow(double freeCores) {
    this.leastFreeCores = freeCores;
    this.leastFreeCoresBefore = freeCores;
  }

  /** Begins a new window. */
  void begin(double freeCores) {
    leastFreeCoresBefore = leastFreeCores;
    leastFreeCores = freeCores;
  }

  /** So many cores are free from now on. */
  void record(double freeCores) {
    leastFreeCores = Math.min(leastFreeCores, freeCores);
  }

  /** Cores that were free for a whole window at least. */
  double steadilyFreeCores() {
    return Math.min(leastFreeCoresBefore, leastFreeCores);
  }
}
