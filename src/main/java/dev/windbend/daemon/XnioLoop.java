package dev.windbend.daemon;

import dev.windbend.daemon.io.EventLoop;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The loop on the one XNIO thread that also reads and writes all sockets. */
final class XnioLoop implements EventLoop {
  private static final Logger LOG = LoggerFactory.getLogger(XnioLoop.class);

  private final XnioIoThread thread;
  private final NanoClock steady = SystemNanoClock.INSTANCE;
  private final EpochClock wall = SystemEpochClock.INSTANCE;

  XnioLoop(XnioIoThread thread) {
    this.thread = thread;
  }

  XnioIoThread thread() {
    return thread;
  }

  @Override
  public long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(steady.nanoTime());
  }

  @Override
  public long wallMs() {
    return wall.time();
  }

  @Override
  public Timer after(long delayMs, Runnable task) {
    Runnable guarded = () -> run(task);
    if (delayMs <= 0) {
      thread.execute(guarded);
      return () -> {};
    }
    XnioExecutor.Key key = thread.executeAfter(guarded, delayMs, TimeUnit.MILLISECONDS);
    return key::remove;
  }

  static void run(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      // One broken event must not stop the loop; what it left undone is pursued again by others.
      LOG.error("event failed", e);
    }
  }
}
