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

/** The event loop on the one XNIO thread that also reads and writes all sockets. */
public final class XnioEventLoop implements EventLoop {
  private static final Logger LOG = LoggerFactory.getLogger(XnioEventLoop.class);

  private final XnioIoThread thread;
  private final NanoClock monotonicClock = SystemNanoClock.INSTANCE;
  private final EpochClock wallClock = SystemEpochClock.INSTANCE;

  /** The event loop of this I/O thread. */
  public XnioEventLoop(XnioIoThread thread) {
    this.thread = thread;
  }

  /** The thread that runs all events. */
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

  /** Runs the task; what it throws is logged. */
  static void runLoggingErrors(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      // One failed event must not stop the loop; reconciliation makes up for what it left undone.
      LOG.error("event failed", e);
    }
  }
}
