package dev.windbend.runtime;

/**
 * The clocks and timers of the one thread that owns all state of a controller. All callbacks run on
 * it, so state needs no locks. Tests run it in virtual time.
 */
public interface EventLoop {
  /**
   * The share by which durations that two machines measure may differ: twice the drift that the
   * protocol allows, to be safe.
   */
  double CLOCK_DRIFT = 0.001;

  /** The monotonic clock, in milliseconds; only differences mean anything. */
  long nowMs();

  /** The wall clock, in milliseconds since 1970; may differ between machines by the set skew. */
  long wallMs();

  /**
   * Runs the task once, after the delay.
   *
   * @param delayMs 0 or less: as soon as what runs now is done
   */
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
    /** The task does not run, unless it already has. */
    void cancel();
  }
}
