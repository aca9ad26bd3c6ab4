package dev.windbend.shard;

import dev.windbend.runtime.EventLoop;
import dev.windbend.store.LeaseRenewal;
import dev.windbend.store.StoreClient;
import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's lease in the state service, which its leadership of shards is bound to.
 * Renewals go out at a steady rate and never wait for the answers to earlier ones: a controller
 * that is so busy that it reads answers seconds late would otherwise send the next renewal too
 * late, and be deposed from all its shards.
 */
final class ControllerLease {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerLease.class);

  /** Taken off the time for which the lease is taken to be valid. */
  private static final long VALIDITY_MARGIN_MS = 150;

  private static final long ACQUIRE_RETRY_MS = 500;
  private static final long RENEW_RETRY_MS = 300;

  /** Renewals sent within the time the lease is granted for. */
  private static final int RENEWALS_PER_TERM = 4;

  /** The id while there is no lease. */
  static final long NO_LEASE = -1;

  private final EventLoop loop;
  private final StoreClient store;
  private final long termMs;
  private final Runnable onExpiry;
  private long leaseId = NO_LEASE;
  private boolean acquiring;
  private long validUntilMs;
  private EventLoop.Timer nextRenewal;

  /**
   * Makes a lease that is not there before {@link #acquire}.
   *
   * @param termMs for how long the state service is to grant it at a time
   * @param onExpiry called when the state service says that the lease has expired
   */
  ControllerLease(EventLoop loop, StoreClient store, long termMs, Runnable onExpiry) {
    this.loop = loop;
    this.store = store;
    this.termMs = termMs;
    this.onExpiry = onExpiry;
  }

  /** Asks for a lease until there is one. */
  void acquire() {
    if (acquiring) {
      return;
    }
    acquiring = true;
    long sentMs = loop.nowMs();
    store.acquireLease(termMs, granted -> handleAcquireOutcome(granted, sentMs));
  }

  private void handleAcquireOutcome(OptionalLong granted, long sentMs) {
    acquiring = false;
    if (granted.isEmpty()) {
      loop.after(ACQUIRE_RETRY_MS, this::acquire);
      return;
    }
    leaseId = granted.getAsLong();
    validUntilMs = validUntil(sentMs);
    renewAfter(termMs / RENEWALS_PER_TERM);
  }

  /** The state service's id of the lease; {@link #NO_LEASE} while there is none. */
  long id() {
    return leaseId;
  }

  /** The lease can't have expired, whatever the clocks do. */
  boolean isValid() {
    return loop.nowMs() < validUntilMs;
  }

  /** The lease runs from when the state service granted it, which was after it was asked. */
  private long validUntil(long sentMs) {
    return sentMs + (long) (termMs * (1 - EventLoop.CLOCK_DRIFT)) - VALIDITY_MARGIN_MS;
  }

  private void renewAfter(long delayMs) {
    if (nextRenewal != null) {
      nextRenewal.cancel();
    }
    nextRenewal = loop.after(delayMs, this::renew);
  }

  private void renew() {
    long renewedLeaseId = leaseId;
    long sentMs = loop.nowMs();
    renewAfter(termMs / RENEWALS_PER_TERM);
    store.renewLease(
        renewedLeaseId,
        renewal -> {
          // Answers may come out of order, and those for a former lease say nothing about this one.
          if (renewedLeaseId == leaseId) {
            handleRenewalOutcome(renewal, sentMs);
          }
        });
  }

  private void handleRenewalOutcome(LeaseRenewal renewal, long sentMs) {
    if (renewal == LeaseRenewal.RENEWED) {
      validUntilMs = Math.max(validUntilMs, validUntil(sentMs));
    } else if (renewal == LeaseRenewal.EXPIRED) {
      LOG.warn("lease expired: lease={}", leaseId);
      leaseId = NO_LEASE;
      validUntilMs = 0;
      nextRenewal.cancel();
      onExpiry.run();
      acquire();
    } else {
      renewAfter(RENEW_RETRY_MS);
    }
  }
}
