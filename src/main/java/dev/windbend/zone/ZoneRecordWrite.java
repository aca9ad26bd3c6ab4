package dev.windbend.zone;

import dev.windbend.store.RecordWrite;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.VersionedValue;
import java.util.Objects;

/** Keeps one zone's record in the state service; there is none while all is well. */
final class ZoneRecordWrite extends RecordWrite {
  private ZoneRecord wanted;
  private ZoneRecord stored;
  private ZoneRecord underWay;
  private long version;

  /**
   * @param record what the key holds, null: nothing that this version can read
   * @param found the same as stored, null: there is none
   */
  ZoneRecordWrite(String key, ZoneRecord record, VersionedValue found) {
    super(key);
    this.wanted = record;
    this.stored = record;
    this.version = found == null ? 0 : found.version();
  }

  /** What the record has to say from now on; null: nothing. */
  void want(ZoneRecord record) {
    wanted = record;
  }

  @Override
  protected boolean hasUnstoredChange() {
    return !Objects.equals(wanted, stored);
  }

  @Override
  protected void addChange(TransactionBuilder draft) {
    underWay = wanted;
    draft.ifVersion(key, version);
    if (wanted == null) {
      draft.delete(key);
    } else {
      draft.put(key, wanted);
    }
  }

  @Override
  protected void applied(long revision) {
    stored = underWay;
    version = stored == null ? 0 : revision;
  }

  @Override
  public void onConflict(String changedKey, VersionedValue now) {
    stored = ZoneRecord.read(now);
    version = now == null ? 0 : now.version();
  }
}
