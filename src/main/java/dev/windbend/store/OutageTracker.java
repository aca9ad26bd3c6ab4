package dev.windbend.store;

import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpStatus;

/** Tracks since when calls to the state service fail, and when the last answered call was sent. */
final class OutageTracker {
  private static final int NO_RESPONSE = 0;
  private static final long NOT_FAILING = -1;

  private final EventLoop loop;
  private long failingSinceMs = NOT_FAILING;
  private long lastAnsweredSentMs = Long.MIN_VALUE / 2;

  OutageTracker(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Records the result of a call. Any response except 503 counts as answered, including errors.
   *
   * @param status the HTTP status, or 0 if there was no response
   * @param sentMs when the call was sent, by the monotonic clock
   */
  void onResponse(int status, long sentMs) {
    if (status != NO_RESPONSE && status != HttpStatus.SERVICE_UNAVAILABLE) {
      failingSinceMs = NOT_FAILING;
      lastAnsweredSentMs = Math.max(lastAnsweredSentMs, sentMs);
    } else if (failingSinceMs == NOT_FAILING) {
      failingSinceMs = loop.nowMs();
    }
  }

  /** Returns for how many milliseconds calls have been failing; 0 if the last one was answered. */
  long failingForMs() {
    return failingSinceMs == NOT_FAILING ? 0 : loop.nowMs() - failingSinceMs;
  }

  /** Returns the latest time at which an answered call was sent, by the monotonic clock. */
  long lastAnsweredSentMs() {
    return lastAnsweredSentMs;
  }
}
