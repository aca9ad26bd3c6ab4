package dev.windbend.shard;

import dev.windbend.runtime.EventLoop;
import dev.windbend.store.LeaseRenewal;
import dev.windbend.store.StoreClient;
import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's lease in the state service, which its leadership of shards is bound to.
 * Renewals are sent at a fixed rate and do not wait for the responses to earlier ones. Otherwise an
 * overloaded controller that reads responses seconds late would also send the next renewal too
 * late, and lose all its shards.
 */
final class ControllerLease {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerLease.class);

  /** Safety margin: the lease is considered expired this long before the computed end. */
  private static final long VALIDITY_MARGIN_MS = 150;

  private static final long ACQUIRE_RETRY_MS = 500;
  private static final long RENEW_RETRY_MS = 300;

  /** How many renewals are sent in one term of the lease. */
  private static final int RENEWALS_PER_TERM = 4;

  /** The value of {@link #id} while there is no lease. */
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
   * Creates a lease that is not held until {@link #acquire}.
   *
   * @param termMs the term to request from the state service
   * @param onExpiry called when the state service reports that the lease has expired
   */
  ControllerLease(EventLoop loop, StoreClient store, long termMs, Runnable onExpiry) {
    this.loop = loop;
    this.store = store;
    this.termMs = termMs;
    this.onExpiry = onExpiry;
  }

  /** Requests a lease, and retries until one is granted. */
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

  /** The id that the state service gave the lease; {@link #NO_LEASE} while there is none. */
  long id() {
    return leaseId;
  }

  /** Whether the lease is certain to be unexpired, allowing for clock drift. */
  boolean isValid() {
    return loop.nowMs() < validUntilMs;
  }

  /**
   * The end of the term, counted from when the request was sent: the state service grants the lease
   * later than that, so the lease cannot expire earlier.
   */
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
          // Responses may arrive out of order; one for a previous lease does not apply to this one.
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
