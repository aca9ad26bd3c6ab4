package dev.windbend.store;

import dev.windbend.runtime.EventLoop;
import java.util.ArrayDeque;

/**
 * Sends queued calls as two rate limits allow: one on all requests, one on the keys that they
 * write. Each lane is first in, first out and bounded; no lane waits behind another one.
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

  /** Calls that wait in line with one another. */
  enum Lane {
    /** Calls that write nothing. */
    READS,

    /** Writes that a user waits for. */
    USER_WRITES,

    /** Records of the shards that this controller leads. */
    LEADER_WRITES
  }

  private record QueuedCall(int writeCount, Runnable send) {}

  RequestPacer(EventLoop loop, double requestsPerSecond, double writesPerSecond) {
    this.loop = loop;
    this.requests = new TokenBucket(loop, requestsPerSecond);
    this.writes = new TokenBucket(loop, writesPerSecond);
  }

  /**
   * Sends the call once its turn comes.
   *
   * @param reject called instead of {@code send}, at once, if the lane is full
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

  /** Counts a call that can't wait and is being sent at once; queued ones make up for it. */
  void countUnqueuedRequest() {
    requests.take(1);
  }

  /** The service refused a call as too frequent. */
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
      return; // called from a call being sent; the loop below goes on
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

  /** Users' writes take turns with the leader's. Returns how long the next one must wait. */
  private long drainWrites() {
    while (true) {
      boolean forUser = leaderWrites.isEmpty() || (userWriteNext && !userWrites.isEmpty());
      long waitMs = sendNext(forUser ? userWrites : leaderWrites);
      if (waitMs > 0) {
        return waitMs;
      }
      // Were users' writes always first, scale-out would come too late in a burst of submissions.
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

  /** Returns 0 if a call was sent, else how long it must wait, or {@link #NOTHING_QUEUED}. */
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
