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

/** The live jobs of one shard, kept in step with their records. */
public final class JobRegistry {
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final ToIntFunction<String> teamIndexInShard;
  private final GroupCommitter committer;
  private final PagedStore pages;

  /**
   * @param teamIndexInShard the dense index of a team of this shard, -1 for any other
   */
  public JobRegistry(
      ToIntFunction<String> teamIndexInShard, GroupCommitter committer, PagedStore pages) {
    this.teamIndexInShard = teamIndexInShard;
    this.committer = committer;
    this.pages = pages;
  }

  public Collection<Job> all() {
    return jobs.values();
  }

  public Job find(String uid) {
    return jobs.get(uid);
  }

  /**
   * Takes a job in, with what a former owner left of its tasks. Null if it is not of this shard;
   * else its placements are to be confirmed by their machines.
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

  /** Its tasks or its end have changed: the write follows. */
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

  /** Jobs whose end is written are not ours to keep. */
  public List<Job> archivedJobs() {
    List<Job> archived = new ArrayList<>();
    for (Job job : jobs.values()) {
      if (job.archived()) {
        archived.add(job);
      }
    }
    return archived;
  }

  public void remove(Job job) {
    jobs.remove(job.spec().uid());
  }
}
