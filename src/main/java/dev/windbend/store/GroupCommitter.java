package dev.windbend.store;

import dev.windbend.runtime.EventLoop;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Group commit of a shard leader's changed records: one transaction at a time, urgent writes first,
 * each on condition that the guard key (the shard's leadership) has not changed.
 */
public final class GroupCommitter {
  private static final Logger LOG = LoggerFactory.getLogger(GroupCommitter.class);

  private static final long RETRY_MS = 300;

  /** Each key of a large transaction adds this part of the usual pause after it. */
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
   * A committer with nothing to write.
   *
   * @param guardKey no write is applied once this key has another version than {@code guardVersion}
   * @param pauseMs from one transaction to the next, at least
   * @param onGuardLost called once when the guard has another version; nothing is written any more
   * @param onProgress called after a transaction was applied, or the keys of a conflict read again
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

  /** Nothing is sent any more, and the answer to what is in flight is ignored. */
  public void close() {
    closed = true;
  }

  /** The write has changed, and will be committed; if it is not urgent, with another one. */
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
   * Commits if anything is urgent. To be called now and then, as a write may become urgent by the
   * time that passes.
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
    // What changes meanwhile goes together, so the rate of writes does not grow with the records.
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
      // After an unknown outcome the same conditions go again, so at most one of both is applied,
      // and a conflict then shows which.
      LOG.debug("commit to be retried: outcome={}", outcome.kind());
      retry(RETRY_MS);
    } else if (outcome.failedKeys().contains(guardKey)) {
      closed = true;
      onGuardLost.run();
    } else {
      LOG.debug("commit conflict: keys={}", outcome.failedKeys());
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
