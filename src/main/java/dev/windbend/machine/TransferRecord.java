package dev.windbend.machine;

import dev.windbend.store.PendingWrite;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.VersionedValue;

/**
 * Machines of one kind on their way to a shard, from another shard or from nobody: one record,
 * below the receiver's key, whatever their number.
 */
final class TransferRecord implements PendingWrite {
  private final String key;
  private final RentalRecord record;
  private final Runnable done;
  private boolean inFlight;
  private boolean written;

  TransferRecord(String key, RentalRecord record, Runnable done) {
    this.key = key;
    this.record = record;
    this.done = done;
  }

  @Override
  public boolean dirty() {
    return !inFlight && !written;
  }

  @Override
  public boolean urgent(long nowMs) {
    return true;
  }

  @Override
  public int cost() {
    return 1;
  }

  @Override
  public void fill(TransactionBuilder draft) {
    inFlight = true;
    draft.when(key, 0);
    draft.put(key, record);
  }

  @Override
  public void written(long revision) {
    inFlight = false;
    finish();
  }

  private void finish() {
    if (!written) {
      written = true;
      done.run();
    }
  }

  @Override
  public void unwritten() {
    inFlight = false;
  }

  @Override
  public void reread(String k, VersionedValue now) {
    if (now != null) {
      // Applied by a write of ours whose answer was lost.
      finish();
    }
  }

  @Override
  public boolean owns(String k) {
    return k.equals(key);
  }
}
