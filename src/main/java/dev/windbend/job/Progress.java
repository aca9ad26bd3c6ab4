package dev.windbend.job;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.daemon.io.Json;
import dev.windbend.store.Pages;
import dev.windbend.store.Stored;
import java.util.HashMap;
import java.util.Map;

/** How far jobs are, as the owners' pages tell. For display: it may lag. */
public final class Progress {
  private record Count(long version, int done, int running) {}

  private final Map<String, Map<String, Count>> jobs = new HashMap<>();

  /** Done and running tasks. */
  public record Tasks(int done, int running) {}

  /** A page or a live job has changed; null: it is gone. */
  public void changed(String key, Stored now) {
    if (key.startsWith(JobRecord.LIVE) && now == null) {
      jobs.remove(key.substring(JobRecord.LIVE.length()));
    } else if (key.startsWith(JobRecord.PAGES) && now != null) {
      Pages.Page page = Json.read(now.value(), Pages.Page.class);
      if (page != null && page.entries() != null) {
        page.entries().forEach((id, value) -> count(id, value, now.version()));
      }
    }
  }

  private void count(String id, JsonNode value, long version) {
    int slash = id.lastIndexOf('/');
    JobRecord.Piece piece = slash < 0 ? null : Json.read(value, JobRecord.Piece.class);
    if (piece == null) {
      return;
    }
    jobs.computeIfAbsent(id.substring(0, slash), k -> new HashMap<>())
        .merge(
            id,
            new Count(version, piece.doneCount(), piece.placedCount()),
            (a, b) -> a.version > b.version ? a : b);
  }

  public Tasks of(String uid) {
    int done = 0;
    int running = 0;
    for (Count c : jobs.getOrDefault(uid, Map.of()).values()) {
      done += c.done;
      running += c.running;
    }
    return new Tasks(done, running);
  }
}
