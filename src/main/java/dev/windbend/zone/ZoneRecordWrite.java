package dev.windbend.zone;

import dev.windbend.store.RecordWrite;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.VersionedValue;
import java.util.Objects;

/** Writes one zone's record in the state service, or deletes it if no record is desired. */
final class ZoneRecordWrite extends RecordWrite {
  private ZoneRecord desired;
  private ZoneRecord stored;
  private ZoneRecord inFlightRecord;
  private long version;

  /**
   * @param record record under the key; null if there is none that this version can read
   * @param storedValue value and version under the key; null if the key does not exist
   */
  ZoneRecordWrite(String key, ZoneRecord record, VersionedValue storedValue) {
    super(key);
    this.desired = record;
    this.stored = record;
    this.version = storedValue == null ? 0 : storedValue.version();
  }

  /** Sets the record to store; null to delete the stored record. */
  void setDesired(ZoneRecord record) {
    desired = record;
  }

  @Override
  protected boolean hasUnstoredChange() {
    return !Objects.equals(desired, stored);
  }

  @Override
  protected void addChange(TransactionBuilder transaction) {
    inFlightRecord = desired;
    transaction.ifVersion(key, version);
    if (desired == null) {
      transaction.delete(key);
    } else {
      transaction.put(key, desired);
    }
  }

  @Override
  protected void applied(long revision) {
    stored = inFlightRecord;
    version = stored == null ? 0 : revision;
  }

  @Override
  public void onConflict(String changedKey, VersionedValue current) {
    stored = ZoneRecord.read(current);
    version = current == null ? 0 : current.version();
  }
}
