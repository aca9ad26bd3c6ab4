package dev.windbend.store;

/**
 * An urgent write of a record under one key. It is retried until the record is known to be stored
 * or another writer is found to have changed the key first.
 */
public abstract class RecordWrite implements PendingWrite {
  /** The key of the record. */
  protected final String key;

  private boolean inFlight;

  /** Creates a write of the record under this key, not in flight. */
  protected RecordWrite(String key) {
    this.key = key;
  }

  /** Returns whether the record has a change that is not known to be stored. */
  protected abstract boolean hasUnstoredChange();

  /** Adds the condition and the write to the transaction, and records the state in flight. */
  protected abstract void addChange(TransactionBuilder transaction);

  /** Called when the write was applied; the new version of the key is {@code revision}. */
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
