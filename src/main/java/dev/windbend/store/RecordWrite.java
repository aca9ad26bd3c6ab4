package dev.windbend.store;

/** A write of one key that something waits for, sent again until its fate is known. */
public abstract class RecordWrite implements PendingWrite {
  protected final String key;
  private boolean inFlight;

  protected RecordWrite(String key) {
    this.key = key;
  }

  /** The key does not hold yet what it should. */
  protected abstract boolean changed();

  /** Adds the condition and the change, and remembers what is under way. */
  protected abstract void add(TransactionBuilder draft);

  /** The write was applied as this revision. */
  protected abstract void applied(long revision);

  @Override
  public final boolean dirty() {
    return !inFlight && changed();
  }

  @Override
  public final boolean urgent(long nowMs) {
    return true;
  }

  @Override
  public final int cost() {
    return 1;
  }

  @Override
  public final void fill(TransactionBuilder draft) {
    inFlight = true;
    add(draft);
  }

  @Override
  public final void written(long revision) {
    inFlight = false;
    applied(revision);
  }

  @Override
  public final void unwritten() {
    inFlight = false;
  }

  @Override
  public final boolean owns(String changedKey) {
    return changedKey.equals(key);
  }
}
