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
  private record Count(long version, int done, int placed) {}

  private final Map<String, Map<String, Count>> jobs = new HashMap<>();

  /** Done and running tasks. */
  public record Tasks(int done, int running) {}

  /** A page or a live job has changed; null: it is gone. */
  public void changed(String key, VersionedValue now) {
    if (key.startsWith(JobRecord.LIVE) && now == null) {
      jobs.remove(key.substring(JobRecord.LIVE.length()));
    } else if (key.startsWith(JobRecord.PAGES) && now != null) {
      PageRecord page = Json.read(now.value(), PageRecord.class);
      if (page != null && page.entries() != null) {
        page.entries().forEach((id, value) -> count(id, value, now.version()));
      }
    }
  }

  private void count(String id, JsonNode value, long version) {
    int mark = Math.max(id.lastIndexOf('/'), id.lastIndexOf(Job.BATCH_MARK));
    if (mark < 0) {
      return;
    }
    int done = 0;
    int placed = 0;
    if (id.charAt(mark) == Job.BATCH_MARK) {
      JobRecord.PlacementBatch b = Json.read(value, JobRecord.PlacementBatch.class);
      for (int run = 0; b != null && run < b.runs(); run++) {
        placed += b.count(run);
      }
    } else {
      JobRecord.Piece p = Json.read(value, JobRecord.Piece.class);
      done = p == null || p.done() == null ? 0 : BitSet.valueOf(p.done()).cardinality();
    }
    jobs.computeIfAbsent(id.substring(0, mark), k -> new HashMap<>())
        .merge(id, new Count(version, done, placed), (a, b) -> a.version > b.version ? a : b);
  }

  public Tasks of(String uid) {
    int done = 0;
    int placed = 0;
    for (Count c : jobs.getOrDefault(uid, Map.of()).values()) {
      done += c.done;
      placed += c.placed;
    }
    return new Tasks(done, Math.max(0, placed - done));
  }
}
