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

/** Manages a shard's live jobs from when their record appears until their end is recorded. */
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
   * Restores a job and the placements of its tasks from its record.
   *
   * @param entries the entries of all jobs in the shard's pages, by entry id
   * @param nowMs the current time (monotonic clock)
   * @return whether the record is that of a live job of this shard
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
        // A machine's record is deleted only once the cloud has confirmed the machine's termination
        // or the machine is empty, so the task is not running.
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
   * Handles a change of a live job's record in the state service.
   *
   * @param record null if the record was deleted
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
      // The job has ended for good. A delayed change may have restored it after its end was
      // recorded; if it were kept, all its writes would fail.
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

  /** Cancels a job whose cancellation was confirmed to the user; the replica may lag behind. */
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

  /** Enqueues the write of the end of each cancelled job that has no placed task left. */
  void finishCancelled() {
    for (Job job : registry.all()) {
      if (job.cancelled() && job.finished()) {
        registry.markChanged(job);
      }
    }
  }

  /** Removes the jobs whose end has been recorded. */
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
