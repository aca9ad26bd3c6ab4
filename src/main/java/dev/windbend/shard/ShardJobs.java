package dev.windbend.shard;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.job.Cancellations;
import dev.windbend.job.Job;
import dev.windbend.job.JobRecord;
import dev.windbend.job.JobRegistry;
import dev.windbend.job.Placement;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.Json;
import dev.windbend.store.VersionedValue;
import dev.windbend.worker.HeartbeatHandler;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A shard's live jobs, from when their record appears until the record of their end is written. */
final class ShardJobs {
  private static final Logger LOG = LoggerFactory.getLogger(ShardJobs.class);

  private final ShardLeadership leadership;
  private final EventLoop loop;
  private final JobRegistry registry;
  private final Fleet fleet;
  private final Cancellations cancellations;
  private final HeartbeatHandler heartbeats;
  private final HeartbeatHandler.SchedulingTrigger scheduling;

  ShardJobs(
      ShardLeadership leadership,
      EventLoop loop,
      JobRegistry registry,
      Fleet fleet,
      Cancellations cancellations,
      HeartbeatHandler heartbeats,
      HeartbeatHandler.SchedulingTrigger scheduling) {
    this.leadership = leadership;
    this.loop = loop;
    this.registry = registry;
    this.fleet = fleet;
    this.cancellations = cancellations;
    this.heartbeats = heartbeats;
    this.scheduling = scheduling;
  }

  /**
   * Takes in a job by its record, with the tasks that are placed.
   *
   * @param entries what the shard's pages hold of the tasks of all jobs, by the entries' names
   * @return whether it is a live job of this shard
   */
  boolean restore(VersionedValue record, SortedMap<String, JsonNode> entries, long nowMs) {
    Job job = registry.restore(record, entries, nowMs);
    if (job == null) {
      return false;
    }
    for (Placement placement : List.copyOf(job.placements())) {
      Machine machine = fleet.find(placement.machineName());
      if (machine != null) {
        machine.add(placement);
      } else {
        // The machine's record goes only once the cloud has confirmed its end, or it is empty.
        job.confirmTerminated(placement);
      }
    }
    if (job.cancelled() || cancellations.isKnownCancelled(job.spec().uid())) {
      job.cancel();
    }
    registry.markChanged(job);
    return true;
  }

  /**
   * A live job's record has changed in the state service.
   *
   * @param record null: it is gone
   */
  void recordChanged(String uid, VersionedValue record) {
    if (!leadership.ready()) {
      return;
    }
    Job job = registry.find(uid);
    if (job == null) {
      if (record != null && restore(record, Collections.emptySortedMap(), loop.nowMs())) {
        scheduling.requestCycle();
      }
    } else if (record == null) {
      // The job has ended, and never comes back. A delayed change may have restored it after its
      // end was written: if it stayed, its writes would fail for ever.
      remove(job);
    } else {
      update(job, record);
    }
  }

  private void update(Job job, VersionedValue record) {
    JobRecord.Live live = Json.read(record.value(), JobRecord.Live.class);
    if (live == null) {
      return;
    }
    boolean cancelledBefore = job.cancelled();
    job.onRecordChange(live, record.version());
    if (job.cancelled() && !cancelledBefore) {
      stopCancelled(job);
    }
  }

  /** A cancellation was confirmed to the user, though the replica may not show it yet. */
  void cancel(String uid) {
    Job job = leadership.ready() ? registry.find(uid) : null;
    if (job != null && !job.cancelled()) {
      job.cancel();
      stopCancelled(job);
    }
  }

  private void stopCancelled(Job job) {
    LOG.info("job cancelled: shard={} job={}", leadership.shard(), job.spec().uid());
    heartbeats.stopTasks(job);
    registry.markChanged(job);
    scheduling.requestCycle();
  }

  /** Has the end written of cancelled jobs of which no task is left. */
  void finishCancelled() {
    for (Job job : registry.all()) {
      if (job.cancelled() && job.finished()) {
        registry.markChanged(job);
      }
    }
  }

  /** Forgets the jobs of which the end has been written. */
  void removeEnded() {
    registry.archivedJobs().forEach(this::remove);
  }

  private void remove(Job job) {
    registry.remove(job);
    if (job.completedCount() == 0) {
      fleet.machines().forEach(machine -> machine.forgetFailedJob(job.spec().uid()));
    }
    for (Placement placement : job.placements()) {
      Machine machine = fleet.find(placement.machineName());
      if (machine != null) {
        machine.remove(placement, loop.nowMs());
      }
    }
  }
}
