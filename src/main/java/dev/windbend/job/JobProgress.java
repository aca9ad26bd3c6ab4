package dev.windbend.job;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.runtime.Json;
import dev.windbend.store.PageRecord;
import dev.windbend.store.VersionedValue;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the tasks of jobs from the pages that the leaders of the shards store. The counts are for
 * display only and may lag.
 */
public final class JobProgress {
  /**
   * The counts of one page entry.
   *
   * @param version the version of the page from which the entry was read
   */
  private record EntryCount(long version, int completed, int placed) {}

  private final Map<String, Map<String, EntryCount>> entryCountsByJob = new HashMap<>();

  /**
   * The task counts of one job.
   *
   * @param completed the number of completed tasks
   * @param running the number of placed tasks that are not completed
   */
  public record TaskCounts(int completed, int running) {}

  /**
   * Applies the change of a page or of a live record.
   *
   * @param stored the key's new value and version; null if the key was deleted
   */
  public void onChange(String key, VersionedValue stored) {
    if (key.startsWith(JobRecord.LIVE_PREFIX) && stored == null) {
      entryCountsByJob.remove(key.substring(JobRecord.LIVE_PREFIX.length()));
    } else if (key.startsWith(JobRecord.PAGES_PREFIX) && stored != null) {
      PageRecord page = Json.read(stored.value(), PageRecord.class);
      if (page != null && page.entries() != null) {
        page.entries().forEach((id, value) -> countEntry(id, value, stored.version()));
      }
    }
  }

  private void countEntry(String id, JsonNode value, long version) {
    int separator = Math.max(id.lastIndexOf('/'), id.lastIndexOf(Job.BATCH_SEPARATOR));
    if (separator < 0) {
      return;
    }
    int completed = 0;
    int placed = 0;
    if (id.charAt(separator) == Job.BATCH_SEPARATOR) {
      JobRecord.PlacementBatch batch = Json.read(value, JobRecord.PlacementBatch.class);
      for (int run = 0; batch != null && run < batch.runCount(); run++) {
        placed += batch.taskCount(run);
      }
    } else {
      JobRecord.CompletedTasks completedTasks = Json.read(value, JobRecord.CompletedTasks.class);
      completed =
          completedTasks == null || completedTasks.completed() == null
              ? 0
              : BitSet.valueOf(completedTasks.completed()).cardinality();
    }
    entryCountsByJob
        .computeIfAbsent(id.substring(0, separator), k -> new HashMap<>())
        .merge(
            id,
            new EntryCount(version, completed, placed),
            (known, read) -> known.version > read.version ? known : read);
  }

  /** Returns the task counts of a job; both are 0 if nothing is known of it. */
  public TaskCounts taskCounts(String uid) {
    int completed = 0;
    int placed = 0;
    for (EntryCount count : entryCountsByJob.getOrDefault(uid, Map.of()).values()) {
      completed += count.completed;
      placed += count.placed;
    }
    return new TaskCounts(completed, Math.max(0, placed - completed));
  }
}
