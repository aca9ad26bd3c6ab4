package dev.windbend.job;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.runtime.Json;
import dev.windbend.store.GroupCommitter;
import dev.windbend.store.PageEntry;
import dev.windbend.store.PagedStore;
import dev.windbend.store.VersionedValue;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.function.ToIntFunction;

/**
 * The live jobs of one shard. It restores jobs from their records and enqueues the writes of
 * changed jobs.
 */
public final class JobRegistry {
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final ToIntFunction<String> teamIndexInShard;
  private final GroupCommitter committer;
  private final PagedStore pages;

  /**
   * Creates an empty registry.
   *
   * @param teamIndexInShard returns the index of a team within the shard; -1 for a team of another
   *     shard
   * @param committer writes the final records of jobs and the pages
   * @param pages stores the completed tasks and the placement batches of the jobs
   */
  public JobRegistry(
      ToIntFunction<String> teamIndexInShard, GroupCommitter committer, PagedStore pages) {
    this.teamIndexInShard = teamIndexInShard;
    this.committer = committer;
    this.pages = pages;
  }

  /** Returns a live view of the jobs, in the order in which they were added. */
  public Collection<Job> all() {
    return jobs.values();
  }

  /** Returns the job with this id; null if there is none. */
  public Job find(String uid) {
    return jobs.get(uid);
  }

  /**
   * Adds a job from its live record and restores the tasks that previous leaders stored.
   *
   * @param record the live record's value and version
   * @param storedEntries the page entries of the shard, by entry id
   * @return the job, whose placements the machines must still confirm; null if the record is
   *     malformed or belongs to another shard
   */
  public Job restore(VersionedValue record, SortedMap<String, JsonNode> storedEntries, long nowMs) {
    JobRecord.Live liveRecord = Json.read(record.value(), JobRecord.Live.class);
    int team =
        liveRecord == null || liveRecord.spec() == null
            ? -1
            : teamIndexInShard.applyAsInt(liveRecord.spec().team());
    if (team < 0) {
      return null;
    }
    Job job = new Job(liveRecord, record.version(), team, nowMs);
    for (PageEntry entry : job.pageEntries()) {
      JsonNode value = storedEntries.get(entry.id());
      JobRecord.CompletedTasks completedTasks =
          value == null ? null : Json.read(value, JobRecord.CompletedTasks.class);
      if (completedTasks != null) {
        job.restoreCompletedTasks(entry, completedTasks);
        pages.adopt(entry);
      }
    }
    String batchIdPrefix = liveRecord.spec().uid() + Job.BATCH_SEPARATOR;
    storedEntries
        .subMap(batchIdPrefix, batchIdPrefix + Character.MAX_VALUE)
        .forEach(
            (id, value) -> {
              JobRecord.PlacementBatch batch = Json.read(value, JobRecord.PlacementBatch.class);
              if (batch != null) {
                pages.adopt(job.restoreBatch(id, batch, nowMs));
              }
            });
    jobs.put(liveRecord.spec().uid(), job);
    return job;
  }

  /** Enqueues the writes for a job whose tasks have changed or which has finished. */
  public void markChanged(Job job) {
    if (job.finished()) {
      committer.enqueue(job.archiveWrite());
      return;
    }
    for (PageEntry entry : job.pageEntries()) {
      if (entry.dirty()) {
        pages.markChanged(entry);
      }
    }
    job.drainNewBatches().forEach(pages::markChanged);
    committer.enqueue(pages);
  }

  /** Returns the jobs whose final record is written; the caller removes them. */
  public List<Job> archivedJobs() {
    List<Job> archived = new ArrayList<>();
    for (Job job : jobs.values()) {
      if (job.archived()) {
        archived.add(job);
      }
    }
    return archived;
  }

  /** Removes the job from this registry; its records are not changed. */
  public void remove(Job job) {
    jobs.remove(job.spec().uid());
  }
}
