package dev.windbend.shard;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.job.JobRecord;
import dev.windbend.machine.MachineTypeCatalog;
import dev.windbend.machine.ScaleOutRecord;
import dev.windbend.runtime.EventLoop;
import dev.windbend.store.PagedStore;
import dev.windbend.store.Replica;
import dev.windbend.store.VersionedValue;
import java.util.Map;
import java.util.SortedMap;
import java.util.function.LongConsumer;

/**
 * Recovers a shard after an election: rebuilds its machines and jobs from the records that previous
 * leaders stored in the state service.
 */
final class ShardFailover {
  private static final long RECHECK_INTERVAL_MS = 20;

  private final ShardLeadership leadership;
  private final EventLoop loop;
  private final Replica replica;
  private final MachineTypeCatalog catalog;
  private final PagedStore pages;
  private final ShardMachines machines;
  private final ShardJobs jobs;

  ShardFailover(
      ShardLeadership leadership,
      EventLoop loop,
      Replica replica,
      MachineTypeCatalog catalog,
      PagedStore pages,
      ShardMachines machines,
      ShardJobs jobs) {
    this.leadership = leadership;
    this.loop = loop;
    this.replica = replica;
    this.catalog = catalog;
    this.pages = pages;
    this.machines = machines;
    this.jobs = jobs;
  }

  /**
   * Rebuilds jobs and machines once the replica contains every write that previous leaders can have
   * made, and the machine types are known. Does nothing if the term has ended.
   *
   * @param onRecovered called with the time of recovery (monotonic clock, ms) once jobs and
   *     machines are complete
   */
  void run(LongConsumer onRecovered) {
    if (leadership.ended()) {
      return;
    }
    if (replica.revision() < leadership.token() || !catalog.isLoaded()) {
      loop.after(RECHECK_INTERVAL_MS, () -> run(onRecovered));
      return;
    }
    long nowMs = loop.nowMs();
    restoreMachines();
    restoreJobs(nowMs);
    onRecovered.accept(nowMs);
  }

  private void restoreMachines() {
    String prefix = ScaleOutRecord.shardPrefix(leadership.shard());
    for (Map.Entry<String, VersionedValue> entry : replica.withPrefix(prefix).entrySet()) {
      machines.restore(entry.getKey().substring(prefix.length()), entry.getValue(), true);
    }
  }

  private void restoreJobs(long nowMs) {
    SortedMap<String, JsonNode> entries =
        pages.restore(replica.withPrefix(JobRecord.pagesPrefix(leadership.shard())));
    for (VersionedValue record : replica.withPrefix(JobRecord.LIVE_PREFIX).values()) {
      jobs.restore(record, entries, nowMs);
    }
    pages.finishRestore();
  }
}
