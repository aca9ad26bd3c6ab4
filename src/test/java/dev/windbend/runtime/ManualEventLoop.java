package dev.windbend.runtime;

import java.util.ArrayList;
import java.util.List;

/** An event loop whose clock and timers a test moves by hand. */
public final class ManualEventLoop implements EventLoop {
  public long nowMs;

  /** Tasks of timers that have not fired yet, whenever they are due. */
  public final List<Runnable> waiting = new ArrayList<>();

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
    waiting.add(task);
    return () -> waiting.remove(task);
  }

  /** Runs what waits now; what that asks for waits on. */
  public void fire() {
    List<Runnable> due = List.copyOf(waiting);
    waiting.clear();
    due.forEach(Runnable::run);
  }
}
