package dev.windbend.store;

import dev.windbend.runtime.EventLoop;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Group commit of a shard leader's changed records. Sends one transaction at a time and adds urgent
 * writes before the others. Each transaction is conditional on the version of the guard key, which
 * holds the shard's leadership, so a previous leader cannot write.
 */
public final class GroupCommitter {
  private static final Logger LOG = LoggerFactory.getLogger(GroupCommitter.class);

  private static final long RETRY_MS = 300;

  /**
   * The pause after a transaction is the minimum pause multiplied by this factor and by the number
   * of writes, and never less than the minimum pause.
   */
  private static final double PAUSE_FACTOR_PER_WRITE = 0.6;

  private final EventLoop loop;
  private final StoreClient store;
  private final String guardKey;
  private final long guardVersion;
  private final long pauseMs;
  private final Runnable onGuardLost;
  private final Runnable onProgress;
  private final LinkedHashSet<PendingWrite> pendingWrites = new LinkedHashSet<>();
  private boolean inFlight;
  private boolean closed;
  private boolean commitScheduled;
  private long notBeforeMs;

  /**
   * Creates a committer without pending writes.
   *
   * @param guardKey the key that every transaction compares
   * @param guardVersion the version that {@code guardKey} must have; with any other version no
   *     write is applied
   * @param pauseMs the minimum time between the starts of two transactions, in milliseconds
   * @param onGuardLost called once when the guard key has another version; the committer is closed
   * @param onProgress called after a transaction was applied, and after the failed keys of a
   *     conflict were read again
   */
  public GroupCommitter(
      EventLoop loop,
      StoreClient store,
      String guardKey,
      long guardVersion,
      long pauseMs,
      Runnable onGuardLost,
      Runnable onProgress) {
    this.loop = loop;
    this.store = store;
    this.guardKey = guardKey;
    this.guardVersion = guardVersion;
    this.pauseMs = pauseMs;
    this.onGuardLost = onGuardLost;
    this.onProgress = onProgress;
  }

  /** Stops sending transactions and ignores the outcome of a transaction in flight. */
  public void close() {
    closed = true;
  }

  /**
   * Registers a changed write for commit. A write that is not urgent is committed together with an
   * urgent one.
   */
  public void enqueue(PendingWrite write) {
    pendingWrites.add(write);
    schedule(0);
  }

  private void schedule(long delayMs) {
    if (!commitScheduled) {
      commitScheduled = true;
      loop.after(
          delayMs,
          () -> {
            commitScheduled = false;
            commitDue();
          });
    }
  }

  /**
   * Starts a transaction if any pending write is urgent, none is in flight and the minimum pause
   * has passed. Must be called periodically, because a write may become urgent as time passes.
   */
  public void commitDue() {
    long now = loop.nowMs();
    if (inFlight || closed || pendingWrites.isEmpty()) {
      return;
    }
    if (now < notBeforeMs) {
      schedule(notBeforeMs - now);
      return;
    }
    if (!anyUrgent(now)) {
      pendingWrites.removeIf(write -> !write.dirty());
      return;
    }
    TransactionBuilder transaction = new TransactionBuilder().ifVersion(guardKey, guardVersion);
    List<PendingWrite> group = new ArrayList<>();
    addWrites(true, now, transaction, group);
    addWrites(false, now, transaction, group);
    pendingWrites.removeAll(group);
    inFlight = true;
    // Changes during the pause are committed together, so the transaction rate stays bounded
    // regardless of the number of records.
    notBeforeMs =
        now + (long) (pauseMs * Math.max(1, PAUSE_FACTOR_PER_WRITE * transaction.writeCount()));
    store.commit(transaction, outcome -> onOutcome(group, outcome));
  }

  private boolean anyUrgent(long now) {
    boolean urgent = false;
    for (PendingWrite write : pendingWrites) {
      urgent |= write.dirty() && write.urgent(now);
    }
    return urgent;
  }

  private void addWrites(
      boolean urgent, long now, TransactionBuilder transaction, List<PendingWrite> group) {
    for (PendingWrite write : pendingWrites) {
      if (write.dirty()
          && write.urgent(now) == urgent
          && fits(write, transaction)
          && !group.contains(write)) {
        write.addTo(transaction);
        group.add(write);
      }
    }
  }

  private boolean fits(PendingWrite write, TransactionBuilder transaction) {
    return transaction.writeCount() == 0
        || (transaction.writeCount() + write.writeCount() <= store.maxWritesPerTransaction()
            && transaction.conditionCount() + write.conditionCount()
                <= store.maxConditionsPerTransaction());
  }

  private void onOutcome(List<PendingWrite> group, TransactionOutcome outcome) {
    inFlight = false;
    if (closed) {
      return;
    }
    if (outcome.applied()) {
      onApplied(group, outcome.revision());
      return;
    }
    for (PendingWrite write : group) {
      write.onNotApplied();
      pendingWrites.add(write);
    }
    if (!outcome.conditionFailed()) {
      // After an unknown outcome the same conditions are sent again, so at most one of the two
      // attempts is applied. If the first one was, the second one ends in a conflict.
      LOG.debug("transaction not applied, retrying: outcome={}", outcome.kind());
      retry(RETRY_MS);
    } else if (outcome.failedKeys().contains(guardKey)) {
      closed = true;
      onGuardLost.run();
    } else {
      LOG.debug("transaction conflict, reading keys again: keys={}", outcome.failedKeys());
      reloadFailedKeys(group, outcome.failedKeys());
    }
  }

  private void onApplied(List<PendingWrite> group, long revision) {
    for (PendingWrite write : group) {
      write.onApplied(revision);
      if (write.dirty()) {
        pendingWrites.add(write);
      }
    }
    onProgress.run();
    commitDue();
  }

  private void reloadFailedKeys(List<PendingWrite> group, List<String> failedKeys) {
    inFlight = true;
    Set<String> unread = new LinkedHashSet<>(failedKeys);
    boolean[] allAnswered = {true};
    for (String key : failedKeys) {
      store.get(
          key,
          result -> {
            if (result.answered() && !closed) {
              resolveConflict(group, key, result.stored());
            }
            allAnswered[0] &= result.answered();
            unread.remove(key);
            if (unread.isEmpty() && !closed) {
              inFlight = false;
              onProgress.run();
              retry(allAnswered[0] ? 0 : RETRY_MS);
            }
          });
    }
  }

  private static void resolveConflict(List<PendingWrite> group, String key, VersionedValue stored) {
    for (PendingWrite write : group) {
      if (write.dependsOn(key)) {
        write.onConflict(key, stored);
      }
    }
  }

  private void retry(long delayMs) {
    notBeforeMs = Math.max(notBeforeMs, loop.nowMs() + delayMs);
    commitDue();
  }
}
