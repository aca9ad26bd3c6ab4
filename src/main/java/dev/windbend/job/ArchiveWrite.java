package dev.windbend.job;

import dev.windbend.store.PendingWrite;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.VersionedValue;

/**
 * Replaces the live record of a finished job by the final record. The write is conditional on the
 * known version of the live record, so that it is applied at most once.
 */
final class ArchiveWrite implements PendingWrite {
  private final Job job;
  private boolean inFlight;

  ArchiveWrite(Job job) {
    this.job = job;
  }

  @Override
  public boolean dirty() {
    return !inFlight && !job.archived() && job.finished();
  }

  @Override
  public boolean urgent(long nowMs) {
    return true;
  }

  @Override
  public int writeCount() {
    return 2;
  }

  @Override
  public void addTo(TransactionBuilder transaction) {
    inFlight = true;
    transaction.ifVersion(job.recordKey(), job.recordVersion());
    transaction.delete(job.recordKey());
    String status = job.cancelled() ? JobStatus.CANCELLED : JobStatus.DONE;
    transaction.put(
        JobRecord.ENDED_PREFIX + job.spec().uid(),
        new JobRecord.Ended(status, job.completedCount()));
  }

  @Override
  public void onApplied(long revision) {
    inFlight = false;
    job.markArchived();
  }

  @Override
  public void onNotApplied() {
    inFlight = false;
  }

  @Override
  public boolean dependsOn(String key) {
    return key.equals(job.recordKey());
  }

  @Override
  public void onConflict(String key, VersionedValue stored) {
    job.applyStoredRecord(stored);
  }
}
