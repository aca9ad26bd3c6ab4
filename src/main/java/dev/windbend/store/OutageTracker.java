package dev.windbend.store;

import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpStatus;

/** Since when calls to the state service fail, and when one was answered last. */
final class OutageTracker {
  private static final int NO_RESPONSE = 0;
  private static final long NOT_FAILING = -1;

  private final EventLoop loop;
  private long failingSinceMs = NOT_FAILING;
  private long lastAnsweredSentMs = Long.MIN_VALUE / 2;

  OutageTracker(EventLoop loop) {
    this.loop = loop;
  }

  /** Any answer but a 503 counts as service, refusals too. */
  void onResponse(int status, long sentMs) {
    if (status != NO_RESPONSE && status != HttpStatus.SERVICE_UNAVAILABLE) {
      failingSinceMs = NOT_FAILING;
      lastAnsweredSentMs = Math.max(lastAnsweredSentMs, sentMs);
    } else if (failingSinceMs == NOT_FAILING) {
      failingSinceMs = loop.nowMs();
    }
  }

  /** For how long no call has been answered; 0 if the last one was. */
  long failingForMs() {
    return failingSinceMs == NOT_FAILING ? 0 : loop.nowMs() - failingSinceMs;
  }

  /** When the newest of the calls that were answered was sent, by the monotonic clock. */
  long lastAnsweredSentMs() {
    return lastAnsweredSentMs;
  }
}
