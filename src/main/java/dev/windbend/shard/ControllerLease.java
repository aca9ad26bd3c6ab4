package dev.windbend.shard;

import dev.windbend.runtime.EventLoop;
import dev.windbend.store.StoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This node's lease in the state service, under which it owns shards. Renewals go out at a steady
 * rate and never wait for the answers to earlier ones: a node that is so busy that it reads answers
 * seconds late would otherwise send the next renewal too late, and lose all that it owns.
 */
final class ControllerLease {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerLease.class);

  /** Taken off the time for which the lease is believed to be held. */
  private static final long MARGIN_MS = 150;

  private static final long ACQUIRE_RETRY_MS = 500;
  private static final long RENEW_RETRY_MS = 300;

  /** Renewals sent within the time the lease is granted for. */
  private static final int RENEWALS_A_TERM = 4;

  /** The id while there is no lease. */
  static final long NONE = -1;

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  private final EventLoop loop;
  private final StoreClient store;
  private final long termMs;
  private final Runnable ended;
  private long id = NONE;
  private boolean acquiring;
  private long validUntilMs;
  private EventLoop.Timer nextRenewal;

  /**
   * @param ended called when the state service says that the lease has ended
   */
  ControllerLease(EventLoop loop, StoreClient store, long termMs, Runnable ended) {
    this.loop = loop;
    this.store = store;
    this.termMs = termMs;
    this.ended = ended;
  }

  /** Asks for a lease until there is one. */
  void acquire() {
    if (acquiring) {
      return;
    }
    acquiring = true;
    long sentMs = loop.nowMs();
    store.acquireLease(termMs, granted -> acquired(granted, sentMs));
  }

  private void acquired(long granted, long sentMs) {
    acquiring = false;
    if (granted < 0) {
      loop.after(ACQUIRE_RETRY_MS, this::acquire);
      return;
    }
    id = granted;
    validUntilMs = validUntil(sentMs);
    renewAfter(termMs / RENEWALS_A_TERM);
  }

  /** {@link #NONE} while there is none. */
  long id() {
    return id;
  }

  /** The lease can't have ended, whatever the clocks do. */
  boolean surelyValid() {
    return loop.nowMs() < validUntilMs;
  }

  /** The lease runs from when the state service granted it, which was after it was asked. */
  private long validUntil(long sentMs) {
    return sentMs + (long) (termMs * (1 - EventLoop.CLOCK_DRIFT)) - MARGIN_MS;
  }

  private void renewAfter(long delayMs) {
    if (nextRenewal != null) {
      nextRenewal.cancel();
    }
    nextRenewal = loop.after(delayMs, this::renew);
  }

  private void renew() {
    long renewed = id;
    long sentMs = loop.nowMs();
    renewAfter(termMs / RENEWALS_A_TERM);
    store.renewLease(
        renewed,
        status -> {
          // Answers may come out of order, and those for a former lease say nothing about this one.
          if (renewed == id) {
            answered(status, sentMs);
          }
        });
  }

  private void answered(int status, long sentMs) {
    if (status == OK) {
      validUntilMs = Math.max(validUntilMs, validUntil(sentMs));
    } else if (status == NOT_FOUND) {
      LOG.warn("lease ended");
      id = NONE;
      validUntilMs = 0;
      nextRenewal.cancel();
      ended.run();
      acquire();
    } else {
      renewAfter(RENEW_RETRY_MS);
    }
  }
}
