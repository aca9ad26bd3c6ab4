package dev.windbend.runtime;

import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The event loop on the single XNIO I/O thread, which also reads and writes all sockets. */
public final class XnioEventLoop implements EventLoop {
  private static final Logger LOG = LoggerFactory.getLogger(XnioEventLoop.class);

  private final XnioIoThread thread;
  private final NanoClock monotonicClock = SystemNanoClock.INSTANCE;
  private final EpochClock wallClock = SystemEpochClock.INSTANCE;

  /** Creates the event loop of this I/O thread. */
  public XnioEventLoop(XnioIoThread thread) {
    this.thread = thread;
  }

  /** Returns the thread that runs all events. */
  public XnioIoThread thread() {
    return thread;
  }

  @Override
  public long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(monotonicClock.nanoTime());
  }

  @Override
  public long wallMs() {
    return wallClock.time();
  }

  @Override
  public Timer after(long delayMs, Runnable task) {
    Runnable guarded = () -> runLoggingErrors(task);
    if (delayMs <= 0) {
      thread.execute(guarded);
      return () -> {};
    }
    XnioExecutor.Key key = thread.executeAfter(guarded, delayMs, TimeUnit.MILLISECONDS);
    return key::remove;
  }

  /** Runs the task and logs an exception that it throws. */
  static void runLoggingErrors(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      // A failed event must not stop the loop; reconciliation repairs the state that it left
      // behind.
      LOG.error("event failed", e);
    }
  }
}
