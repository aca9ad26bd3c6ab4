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
  private final ToIntFunction<String> teamHere;
  private final GroupCommitter committer;
  private final PagedStore pages;

  /**
   * @param teamHere the dense index of a team of this shard, -1 for any other
   */
  public JobRegistry(ToIntFunction<String> teamHere, GroupCommitter committer, PagedStore pages) {
    this.teamHere = teamHere;
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
  public Job take(VersionedValue record, SortedMap<String, JsonNode> left, long nowMs) {
    JobRecord.Live r = Json.read(record.value(), JobRecord.Live.class);
    int team = r == null || r.spec() == null ? -1 : teamHere.applyAsInt(r.spec().team());
    if (team < 0) {
      return null;
    }
    Job job = new Job(r, record.version(), team, nowMs);
    for (PageEntry e : job.entries()) {
      JsonNode value = left.get(e.id());
      JobRecord.Piece piece = value == null ? null : Json.read(value, JobRecord.Piece.class);
      if (piece != null) {
        job.restore(e, piece);
        pages.adopt(e);
      }
    }
    String batches = r.spec().uid() + Job.BATCH_MARK;
    left.subMap(batches, batches + Character.MAX_VALUE)
        .forEach(
            (id, value) -> {
              JobRecord.PlacementBatch batch = Json.read(value, JobRecord.PlacementBatch.class);
              if (batch != null) {
                pages.adopt(job.restore(id, batch, nowMs));
              }
            });
    jobs.put(r.spec().uid(), job);
    return job;
  }

  /** Its tasks or its end have changed: the write follows. */
  public void touched(Job job) {
    if (job.over()) {
      committer.enqueue(job.end());
      return;
    }
    for (PageEntry e : job.entries()) {
      if (e.dirty()) {
        pages.markChanged(e);
      }
    }
    job.fresh().forEach(pages::markChanged);
    committer.enqueue(pages);
  }

  /** Jobs whose end is written are not ours to keep. */
  public List<Job> archived() {
    List<Job> all = new ArrayList<>();
    for (Job j : jobs.values()) {
      if (j.archived()) {
        all.add(j);
      }
    }
    return all;
  }

  public void forget(Job job) {
    jobs.remove(job.spec().uid());
  }
}
