package dev.windbend.job;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.runtime.Json;
import dev.windbend.store.PageRecord;
import dev.windbend.store.VersionedValue;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

/** How far jobs are, as the owners' pages tell. For display: it may lag. */
public final class JobProgress {
  private record EntryCount(long version, int completed, int placed) {}

  private final Map<String, Map<String, EntryCount>> entryCountsByJob = new HashMap<>();

  /** Done and running tasks. */
  public record TaskCounts(int completed, int running) {}

  /** A page or a live job has changed; null: it is gone. */
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
            (a, batch) -> a.version > batch.version ? a : batch);
  }

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
