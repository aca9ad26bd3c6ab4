package dev.windbend.store;

import dev.windbend.runtime.EventLoop;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes changed units in groups, urgent ones first, one transaction at a time, each on condition
 * that the guard (the shard's claim) is unchanged.
 */
public final class Committer {
  private static final Logger LOG = LoggerFactory.getLogger(Committer.class);

  private static final long AGAIN_MS = 300;

  /** Each change of a large write takes this fraction of the usual pause. */
  private static final double GAP_A_CHANGE = 0.6;

  private final EventLoop loop;
  private final StoreClient store;
  private final String guardKey;
  private final long guardVersion;
  private final Runnable lost;
  private final Runnable after;
  private final long gapMs;
  private final LinkedHashSet<PendingWrite> changed = new LinkedHashSet<>();
  private boolean busy;
  private boolean closed;
  private boolean scheduled;
  private long notBeforeMs;

  public Committer(
      EventLoop loop,
      StoreClient store,
      String guardKey,
      long guardVersion,
      long gapMs,
      Runnable lost,
      Runnable after) {
    this.gapMs = gapMs;
    this.loop = loop;
    this.store = store;
    this.guardKey = guardKey;
    this.guardVersion = guardVersion;
    this.lost = lost;
    this.after = after;
  }

  public void close() {
    closed = true;
  }

  /** Says that the unit has changed; the write follows. */
  public void touch(PendingWrite unit) {
    changed.add(unit);
    later(0);
  }

  private void later(long ms) {
    if (!scheduled) {
      scheduled = true;
      loop.after(
          ms,
          () -> {
            scheduled = false;
            run();
          });
    }
  }

  /** Called now and then, so that changes in no hurry are written too. */
  public void run() {
    long now = loop.nowMs();
    if (busy || closed || changed.isEmpty()) {
      return;
    }
    if (now < notBeforeMs) {
      later(notBeforeMs - now);
      return;
    }
    List<PendingWrite> batch = new ArrayList<>();
    TransactionBuilder draft = new TransactionBuilder().when(guardKey, guardVersion);
    boolean urgent = false;
    for (PendingWrite u : changed) {
      urgent |= u.dirty() && u.urgent(now);
    }
    if (!urgent) {
      changed.removeIf(u -> !u.dirty());
      return;
    }
    for (int pass = 0; pass < 2; pass++) {
      for (PendingWrite u : changed) {
        if (u.dirty()
            && u.urgent(now) == (pass == 0)
            && (draft.size() == 0 || draft.size() + u.cost() <= store.opsLimit())
            && !batch.contains(u)) {
          u.fill(draft);
          batch.add(u);
        }
      }
    }
    changed.removeAll(batch);
    busy = true;
    // What changes meanwhile goes together: changes a second do not grow with what there is.
    notBeforeMs = now + (long) (gapMs * Math.max(1, GAP_A_CHANGE * draft.size()));
    store.commit(draft, outcome -> settle(batch, outcome));
  }

  private void settle(List<PendingWrite> batch, Outcome outcome) {
    busy = false;
    if (closed) {
      return;
    }
    if (outcome.done()) {
      for (PendingWrite u : batch) {
        u.written(outcome.revision());
        if (u.dirty()) {
          changed.add(u);
        }
      }
      after.run();
      run();
      return;
    }
    for (PendingWrite u : batch) {
      u.unwritten();
      changed.add(u);
    }
    if (outcome.kind() != Outcome.Kind.CONFLICT) {
      // Not known whether it was applied: the same conditions go again, so at most one of both can
      // be, and a conflict then shows which.
      LOG.debug("write {}: again soon", outcome.kind());
      again(AGAIN_MS);
      return;
    }
    if (outcome.failed().contains(guardKey)) {
      closed = true;
      lost.run();
      return;
    }
    LOG.debug("write conflicts: {}", outcome.failed());
    reread(batch, outcome.failed());
  }

  private void reread(List<PendingWrite> batch, List<String> failed) {
    busy = true;
    Set<String> open = new LinkedHashSet<>(failed);
    boolean[] sure = {true};
    for (String key : failed) {
      store.get(
          key,
          got -> {
            if (got.sure() && !closed) {
              for (PendingWrite u : batch) {
                if (u.owns(key)) {
                  u.reread(key, got.stored());
                }
              }
            }
            sure[0] &= got.sure();
            open.remove(key);
            if (open.isEmpty() && !closed) {
              busy = false;
              after.run();
              again(sure[0] ? 0 : AGAIN_MS);
            }
          });
    }
  }

  private void again(long ms) {
    notBeforeMs = Math.max(notBeforeMs, loop.nowMs() + ms);
    run();
  }
}
