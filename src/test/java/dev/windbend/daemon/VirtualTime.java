package dev.windbend.daemon;

import dev.windbend.runtime.EventLoop;
import java.util.PriorityQueue;
import java.util.function.LongSupplier;

/** Simulated time: everything happens in one thread, in the same order every time. */
final class VirtualTime {
  private record Event(long atMs, long order, Runnable task) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atMs != b.atMs ? Long.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));
  private long nowMs;
  private long order;

  long nowMs() {
    return nowMs;
  }

  void at(long delayMs, Runnable task) {
    events.add(new Event(nowMs + Math.max(0, delayMs), order++, task));
  }

  void runUntil(long endMs) {
    while (!events.isEmpty() && events.peek().atMs <= endMs) {
      Event e = events.poll();
      nowMs = e.atMs;
      e.task.run();
    }
    nowMs = endMs;
  }

  /** A process's own loop: its clocks start anywhere, and nothing of it runs once it is dead. */
  final class ProcessLoop implements EventLoop {
    private final long offsetMs;
    private final long wallOffMs;
    private boolean dead;
    private long stillUntilMs;

    private final LongSupplier slowMs;

    ProcessLoop(long offsetMs, long wallOffMs, LongSupplier slowMs) {
      this.slowMs = slowMs;
      this.offsetMs = offsetMs;
      this.wallOffMs = wallOffMs;
    }

    void kill() {
      dead = true;
    }

    boolean dead() {
      return dead;
    }

    /** It runs nothing for so long, while its clocks go on. */
    void standStill(long forMs) {
      stillUntilMs = VirtualTime.this.nowMs + forMs;
    }

    /** Now, or when it goes on. */
    void run(Runnable task) {
      if (dead) {
        return;
      }
      long wait = stillUntilMs - VirtualTime.this.nowMs;
      if (wait > 0) {
        at(wait, () -> run(task));
      } else {
        task.run();
      }
    }

    @Override
    public long nowMs() {
      return nowMs + offsetMs;
    }

    @Override
    public long wallMs() {
      return 1_700_000_000_000L + nowMs + wallOffMs;
    }

    @Override
    public Timer after(long delayMs, Runnable task) {
      boolean[] off = {false};
      at(
          delayMs + slowMs.getAsLong(),
          () -> {
            run(
                () -> {
                  if (!off[0]) {
                    task.run();
                  }
                });
          });
      return () -> off[0] = true;
    }
  }
}
