package dev.windbend.daemon;

import dev.windbend.runtime.EventLoop;
import java.util.PriorityQueue;
import java.util.function.LongSupplier;

/**
 * Virtual time. All tasks run on one thread in the order of their times; tasks of the same time run
 * in the order in which they were scheduled.
 */
final class VirtualTime {
  private record ScheduledTask(long atMs, long sequence, Runnable task) {}

  private final PriorityQueue<ScheduledTask> scheduledTasks =
      new PriorityQueue<>(
          (a, b) ->
              a.atMs != b.atMs
                  ? Long.compare(a.atMs, b.atMs)
                  : Long.compare(a.sequence, b.sequence));
  private long nowMs;
  private long nextSequence;

  long nowMs() {
    return nowMs;
  }

  void schedule(long delayMs, Runnable task) {
    scheduledTasks.add(new ScheduledTask(nowMs + Math.max(0, delayMs), nextSequence++, task));
  }

  /** Runs all tasks up to and including this time. */
  void runUntil(long endMs) {
    while (!scheduledTasks.isEmpty() && scheduledTasks.peek().atMs <= endMs) {
      ScheduledTask next = scheduledTasks.poll();
      nowMs = next.atMs;
      next.task.run();
    }
    nowMs = endMs;
  }

  /**
   * The event loop of one process. Its clocks have their own offsets, as the clocks of separate
   * machines have. After {@link #kill} it runs no task.
   */
  final class ProcessLoop implements EventLoop {
    private final long monotonicOffsetMs;
    private final long wallClockOffsetMs;
    private boolean killed;
    private long pausedUntilMs;

    private final LongSupplier eventDelayMs;

    /**
     * @param eventDelayMs additional delay of each timer, read when the timer is set
     */
    ProcessLoop(long monotonicOffsetMs, long wallClockOffsetMs, LongSupplier eventDelayMs) {
      this.eventDelayMs = eventDelayMs;
      this.monotonicOffsetMs = monotonicOffsetMs;
      this.wallClockOffsetMs = wallClockOffsetMs;
    }

    void kill() {
      killed = true;
    }

    boolean killed() {
      return killed;
    }

    /** Runs no task for this time, while the clocks advance. */
    void pause(long durationMs) {
      pausedUntilMs = VirtualTime.this.nowMs + durationMs;
    }

    /** Runs the task now or at the end of the pause. */
    void run(Runnable task) {
      if (killed) {
        return;
      }
      long remainingPauseMs = pausedUntilMs - VirtualTime.this.nowMs;
      if (remainingPauseMs > 0) {
        schedule(remainingPauseMs, () -> run(task));
      } else {
        task.run();
      }
    }

    @Override
    public long nowMs() {
      return nowMs + monotonicOffsetMs;
    }

    @Override
    public long wallMs() {
      return 1_700_000_000_000L + nowMs + wallClockOffsetMs;
    }

    @Override
    public Timer after(long delayMs, Runnable task) {
      boolean[] cancelled = {false};
      schedule(
          delayMs + eventDelayMs.getAsLong(),
          () -> {
            run(
                () -> {
                  if (!cancelled[0]) {
                    task.run();
                  }
                });
          });
      return () -> cancelled[0] = true;
    }
  }
}
