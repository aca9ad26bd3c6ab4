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
  private final Runnable done;
  private boolean written;

  TransferRecord(String key, ScaleOutRecord record, Runnable done) {
    super(key);
    this.record = record;
    this.done = done;
  }

  @Override
  protected boolean hasUnstoredChange() {
    return !written;
  }

  @Override
  protected void addChange(TransactionBuilder draft) {
    draft.ifAbsent(key);
    draft.put(key, record);
  }

  @Override
  protected void applied(long revision) {
    finish();
  }

  private void finish() {
    if (!written) {
      written = true;
      done.run();
    }
  }

  @Override
  public void onConflict(String changedKey, VersionedValue now) {
    if (now != null) {
      // Applied by a write of ours whose answer was lost.
      finish();
    }
  }
}
