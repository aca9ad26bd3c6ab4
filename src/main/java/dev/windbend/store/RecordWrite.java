package dev.windbend.store;

/**
 * A record of one key that something waits for; sent again until it is known to be stored or
 * another writer is found to have been first.
 */
public abstract class RecordWrite implements PendingWrite {
  /** The key of the record. */
  protected final String key;

  private boolean inFlight;

  /** A record of this key, not in flight. */
  protected RecordWrite(String key) {
    this.key = key;
  }

  /** Whether the key does not hold yet what it should. */
  protected abstract boolean hasUnstoredChange();

  /** Adds the condition and the write, and remembers what is in flight. */
  protected abstract void addChange(TransactionBuilder transaction);

  /** The write was applied; the key has this revision as its version. */
  protected abstract void applied(long revision);

  @Override
  public final boolean dirty() {
    return !inFlight && hasUnstoredChange();
  }

  @Override
  public final boolean urgent(long nowMs) {
    return true;
  }

  @Override
  public final int writeCount() {
    return 1;
  }

  @Override
  public final void addTo(TransactionBuilder transaction) {
    inFlight = true;
    addChange(transaction);
  }

  @Override
  public final void onApplied(long revision) {
    inFlight = false;
    applied(revision);
  }

  @Override
  public final void onNotApplied() {
    inFlight = false;
  }

  @Override
  public final boolean dependsOn(String changedKey) {
    return changedKey.equals(key);
  }
}
