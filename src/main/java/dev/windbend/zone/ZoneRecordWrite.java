package dev.windbend.zone;

import dev.windbend.store.PendingWrite;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.VersionedValue;

/** Keeps one zone's record in the state service; there is none while all is well. */
final class ZoneRecordWrite implements PendingWrite {
  private final String key;
  private ZoneRecord wanted;
  private ZoneRecord stored;
  private ZoneRecord inFlight;
  private boolean writing;
  private long version;

  /**
   * @param found the record as it is, null: there is none
   */
  ZoneRecordWrite(String key, ZoneRecord record, VersionedValue found) {
    this.key = key;
    this.wanted = record;
    this.stored = record;
    this.version = found == null ? 0 : found.version();
  }

  /** What the record has to say from now on; null: nothing. */
  void want(ZoneRecord record) {
    wanted = record;
  }

  @Override
  public boolean dirty() {
    return !writing && !java.util.Objects.equals(wanted, stored);
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
    writing = true;
    inFlight = wanted;
    draft.when(key, version);
    if (wanted == null) {
      draft.delete(key);
    } else {
      draft.put(key, wanted);
    }
  }

  @Override
  public void written(long revision) {
    writing = false;
    stored = inFlight;
    version = stored == null ? 0 : revision;
  }

  @Override
  public void unwritten() {
    writing = false;
  }

  @Override
  public void reread(String k, VersionedValue now) {
    stored = ZoneRecord.read(now);
    version = now == null ? 0 : now.version();
  }

  @Override
  public boolean owns(String k) {
    return k.equals(key);
  }
}
