package dev.windbend.machine;

import dev.windbend.store.RecordWrite;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.VersionedValue;

/**
 * Write of the record that transfers machines of one kind to a shard, or assigns orphaned machines
 * to it. One record under the receiver's key prefix holds all machines of the transfer.
 */
final class TransferRecord extends RecordWrite {
  private final ScaleOutRecord record;
  private final Runnable onWritten;
  private boolean written;

  TransferRecord(String key, ScaleOutRecord record, Runnable onWritten) {
    super(key);
    this.record = record;
    this.onWritten = onWritten;
  }

  @Override
  protected boolean hasUnstoredChange() {
    return !written;
  }

  @Override
  protected void addChange(TransactionBuilder transaction) {
    transaction.ifAbsent(key);
    transaction.put(key, record);
  }

  @Override
  protected void applied(long revision) {
    finish();
  }

  private void finish() {
    if (!written) {
      written = true;
      onWritten.run();
    }
  }

  @Override
  public void onConflict(String changedKey, VersionedValue stored) {
    if (stored != null) {
      // The key is unique, so an earlier write was applied and its response was lost.
      finish();
    }
  }
}
