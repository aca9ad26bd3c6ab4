package dev.windbend.runtime;

import java.util.ArrayList;
import java.util.List;

/** An event loop whose clock and timers a test moves by hand. */
public final class ManualEventLoop implements EventLoop {
  public long nowMs;

  /** Tasks of timers that have not fired yet, whenever they are due. */
  public final List<Runnable> pendingTasks = new ArrayList<>();

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

  /** Runs what waits now; what that asks for waits on. */
  public void runPendingTasks() {
    List<Runnable> due = List.copyOf(pendingTasks);
    pendingTasks.clear();
    due.forEach(Runnable::run);
  }
}
