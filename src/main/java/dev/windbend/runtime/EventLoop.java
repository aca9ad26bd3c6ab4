package dev.windbend.runtime;

/**
 * The clocks and timers of the single thread that accesses all state of a controller. All callbacks
 * run on this thread, so that the state needs no locks. Tests replace the clocks by virtual time.
 */
public interface EventLoop {
  /**
   * Maximum relative difference between durations that two machines measure. It is twice the clock
   * drift that the protocol allows, as a safety margin.
   */
  double CLOCK_DRIFT = 0.001;

  /** Returns the time of the monotonic clock, in milliseconds; only differences are meaningful. */
  long nowMs();

  /**
   * Returns the time of the wall clock, in milliseconds since 1970. The wall clocks of machines may
   * differ by the allowed clock skew.
   */
  long wallMs();

  /**
   * Runs the task once, after the delay.
   *
   * @param delayMs if 0 or negative, the task runs as soon as possible after the current event
   */
  Timer after(long delayMs, Runnable task);

  /** Runs the task repeatedly, with the given pause before each run. */
  default void every(long pauseMs, Runnable task) {
    after(
        pauseMs,
        () -> {
          task.run();
          every(pauseMs, task);
        });
  }

  /** A scheduled task. */
  interface Timer {
    /** Cancels the task; has no effect if it has already run. */
    void cancel();
  }
}
