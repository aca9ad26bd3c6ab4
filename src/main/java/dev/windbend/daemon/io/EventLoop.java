package dev.windbend.daemon.io;

/** The one thread that owns all state: its clocks and its timers. Tests put virtual time here. */
public interface EventLoop {
  /**
   * The share by which durations that two machines measure may differ: twice the drift that the
   * protocol allows, to be safe.
   */
  double CLOCK_DRIFT = 0.001;

  /** Steady clock; only differences mean anything. */
  long nowMs();

  /** Time of day, within the bound the settings give. */
  long wallMs();

  Timer after(long delayMs, Runnable task);

  /** Runs the task again and again, the given pause after each run. */
  default void every(long pauseMs, Runnable task) {
    after(
        pauseMs,
        () -> {
          task.run();
          every(pauseMs, task);
        });
  }

  /** A timer that has not fired yet. */
  interface Timer {
    void cancel();
  }
}
