package dev.windbend.machine;

import dev.windbend.store.RecordWrite;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.VersionedValue;

/**
 * Machines of one kind on their way to a shard, from another shard or from nobody: one record,
 * below the receiver's key, whatever their number.
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
      // Applied by a write of ours whose answer was lost.
      finish();
    }
  }
}
