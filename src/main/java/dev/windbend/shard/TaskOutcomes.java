package dev.windbend.shard;

import dev.windbend.job.Cancellations;
import dev.windbend.job.Job;
import dev.windbend.job.JobRegistry;
import dev.windbend.job.Placement;
import dev.windbend.machine.Machine;
import dev.windbend.runtime.NameIndex;
import dev.windbend.worker.TaskReconciler;

/**
 * Applies the task events found in heartbeats to the job records, the estimated run times and the
 * handling of failures.
 */
final class TaskOutcomes implements TaskReconciler.TaskEvents {
  private final JobRegistry registry;
  private final Cancellations cancellations;
  private final NameIndex images;
  private final JobDeadlines deadlines;
  private final TaskFailures failures;

  TaskOutcomes(
      JobRegistry registry,
      Cancellations cancellations,
      NameIndex images,
      JobDeadlines deadlines,
      TaskFailures failures) {
    this.registry = registry;
    this.cancellations = cancellations;
    this.images = images;
    this.deadlines = deadlines;
    this.failures = failures;
  }

  @Override
  public Job findJob(String uid) {
    return registry.find(uid);
  }

  @Override
  public boolean isCancelled(String uid) {
    Job job = registry.find(uid);
    return (job != null && job.cancelled()) || cancellations.isKnownCancelled(uid);
  }

  @Override
  public void jobChanged(Job job) {
    registry.markChanged(job);
  }

  @Override
  public void taskCompleted(Placement placement, long nowMs) {
    if (placement.runningSinceMs() >= 0) {
      deadlines.recordCompletedTask(
          placement.job(), Units.toSeconds(nowMs - placement.runningSinceMs()));
    }
  }

  @Override
  public void taskFailed(Placement placement, Machine machine) {
    failures.taskFailed(placement, machine);
  }

  @Override
  public int imageIndex(String name) {
    return images.index(name);
  }
}
