package dev.windbend.store;

import dev.windbend.runtime.EventLoop;
import java.util.ArrayDeque;

/**
 * Sends queued calls within two rate limits: one on all requests, one on the keys written. Each
 * lane is a bounded first-in, first-out queue. Reads do not wait behind writes, and the two lanes
 * of writes are served alternately.
 */
final class RequestPacer {
  private static final int MAX_QUEUED = 400;
  private static final long NOTHING_QUEUED = Long.MAX_VALUE;

  private final EventLoop loop;
  private final TokenBucket requests;
  private final TokenBucket writes;
  private final ArrayDeque<QueuedCall> reads = new ArrayDeque<>();
  private final ArrayDeque<QueuedCall> userWrites = new ArrayDeque<>();
  private final ArrayDeque<QueuedCall> leaderWrites = new ArrayDeque<>();
  private boolean draining;
  private boolean userWriteNext = true;
  private long nextDrainMs = NOTHING_QUEUED;

  /** A queue of calls that are sent in order. */
  enum Lane {
    /** Calls without writes. */
    READS,

    /** Writes that a user waits for. */
    USER_WRITES,

    /** Writes of records of the shards that this controller leads. */
    LEADER_WRITES
  }

  private record QueuedCall(int writeCount, Runnable send) {}

  RequestPacer(EventLoop loop, double requestsPerSecond, double writesPerSecond) {
    this.loop = loop;
    this.requests = new TokenBucket(loop, requestsPerSecond);
    this.writes = new TokenBucket(loop, writesPerSecond);
  }

  /**
   * Queues a call and sends it when the earlier calls of its lane are sent and the rate limits
   * allow it.
   *
   * @param writeCount the number of keys that the call writes
   * @param reject called immediately, instead of {@code send}, if the lane is full
   */
  void submit(Lane lane, int writeCount, Runnable send, Runnable reject) {
    ArrayDeque<QueuedCall> queue = queueFor(lane);
    if (queue.size() >= MAX_QUEUED) {
      reject.run();
      return;
    }
    queue.add(new QueuedCall(writeCount, send));
    drain();
  }

  /**
   * Charges the request limit for a call that is sent without queueing. Queued calls are delayed
   * accordingly.
   */
  void countUnqueuedRequest() {
    requests.take(1);
  }

  /** Lowers the rate of writes or of all requests after the service rejected a call with 429. */
  void onRateLimited(boolean write) {
    (write ? writes : requests).slowDown();
  }

  private ArrayDeque<QueuedCall> queueFor(Lane lane) {
    return switch (lane) {
      case READS -> reads;
      case USER_WRITES -> userWrites;
      case LEADER_WRITES -> leaderWrites;
    };
  }

  private void drain() {
    if (draining) {
      return; // reentrant call while a call is being sent; the outer invocation continues
    }
    draining = true;
    try {
      scheduleDrain(Math.min(drainWrites(), drainReads()));
    } finally {
      draining = false;
    }
  }

  private void scheduleDrain(long waitMs) {
    long dueMs = waitMs == NOTHING_QUEUED ? NOTHING_QUEUED : loop.nowMs() + waitMs;
    if (dueMs < nextDrainMs) {
      nextDrainMs = dueMs;
      loop.after(
          waitMs,
          () -> {
            nextDrainMs = NOTHING_QUEUED;
            drain();
          });
    }
  }

  /**
   * Sends user writes and leader writes alternately. Returns the wait of the next write in
   * milliseconds, or {@link #NOTHING_QUEUED}.
   */
  private long drainWrites() {
    while (true) {
      boolean forUser = leaderWrites.isEmpty() || (userWriteNext && !userWrites.isEmpty());
      long waitMs = sendNext(forUser ? userWrites : leaderWrites);
      if (waitMs > 0) {
        return waitMs;
      }
      // Absolute priority of user writes would delay scale-out too long in a burst of submissions.
      userWriteNext = !forUser;
    }
  }

  private long drainReads() {
    long waitMs;
    do {
      waitMs = sendNext(reads);
    } while (waitMs == 0);
    return waitMs;
  }

  /**
   * Sends the first call of the queue if the rate limits allow it.
   *
   * @return 0 if a call was sent, otherwise its wait in milliseconds, or {@link #NOTHING_QUEUED}
   */
  private long sendNext(ArrayDeque<QueuedCall> queue) {
    QueuedCall call = queue.peek();
    if (call == null) {
      return NOTHING_QUEUED;
    }
    long waitMs =
        Math.max(requests.waitMs(1), call.writeCount() > 0 ? writes.waitMs(call.writeCount()) : 0);
    if (waitMs == 0) {
      queue.poll();
      requests.take(1);
      writes.take(call.writeCount());
      call.send().run();
    }
    return waitMs;
  }
}
