package dev.windbend.daemon;

import dev.windbend.runtime.EventLoop;
import java.util.PriorityQueue;
import java.util.function.LongSupplier;

/** Simulated time: everything happens in one thread, in the same order every time. */
final class VirtualTime {
  private record ScheduledTask(long atMs, long sequence, Runnable task) {}

  private final PriorityQueue<ScheduledTask> events =
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
    events.add(new ScheduledTask(nowMs + Math.max(0, delayMs), nextSequence++, task));
  }

  void runUntil(long endMs) {
    while (!events.isEmpty() && events.peek().atMs <= endMs) {
      ScheduledTask next = events.poll();
      nowMs = next.atMs;
      next.task.run();
    }
    nowMs = endMs;
  }

  /** A process's own loop: its clocks start anywhere, and nothing of it runs once it is dead. */
  final class ProcessLoop implements EventLoop {
    private final long monotonicOffsetMs;
    private final long wallClockOffsetMs;
    private boolean killed;
    private long pausedUntilMs;

    private final LongSupplier eventDelayMs;

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

    /** It runs nothing for so long, while its clocks go on. */
    void pause(long durationMs) {
      pausedUntilMs = VirtualTime.this.nowMs + durationMs;
    }

    /** Now, or when it goes on. */
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
