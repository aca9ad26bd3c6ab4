package dev.windbend.runtime;

import java.util.ArrayList;
import java.util.List;

/** An event loop for tests, whose clock and timers are controlled by the test. */
public final class ManualEventLoop implements EventLoop {
  /** The current time of both clocks, in milliseconds. */
  public long nowMs;

  /** Scheduled tasks that have not run yet, regardless of their delay. */
  public final List<Runnable> pendingTasks = new ArrayList<>();

  /** Creates an event loop whose clocks show the given time. */
  public ManualEventLoop(long nowMs) {
    this.nowMs = nowMs;
  }

  @Override
  public long nowMs() {
    return nowMs;
  }

  @Override
  public long wallMs() {
    return nowMs;
  }

  @Override
  public Timer after(long delayMs, Runnable task) {
    pendingTasks.add(task);
    return () -> pendingTasks.remove(task);
  }

  /** Runs the pending tasks. Tasks that they schedule remain pending. */
  public void runPendingTasks() {
    List<Runnable> due = List.copyOf(pendingTasks);
    pendingTasks.clear();
    due.forEach(Runnable::run);
  }
}
