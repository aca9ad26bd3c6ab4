package dev.windbend.zone;

import dev.windbend.job.Job;
import dev.windbend.job.Placement;
import dev.windbend.machine.Machine;
import java.util.ArrayList;
import java.util.List;

/** Builds the evacuation plan's view of the tasks on a lost machine. */
final class EvacuationTaskBuilder {
  private static final double MS_PER_SECOND = 1_000;

  private final ZoneMonitor.JobTimes jobTimes;

  EvacuationTaskBuilder(ZoneMonitor.JobTimes jobTimes) {
    this.jobTimes = jobTimes;
  }

  List<EvacuationPlan.Task> tasksOn(Machine machine, String zone, long nowMs) {
    List<EvacuationPlan.Task> tasks = new ArrayList<>();
    for (Placement placement : machine.tasks().values()) {
      tasks.add(toTask(placement, zone, nowMs));
    }
    return tasks;
  }

  private EvacuationPlan.Task toTask(Placement placement, String zone, long nowMs) {
    Job job = placement.job();
    long estimatedRunTimeMs = jobTimes.estimatedRunTimeMs(job);
    long elapsedMs = elapsedRunTimeMs(placement, estimatedRunTimeMs, nowMs);
    long checkpointIntervalMs = (long) (MS_PER_SECOND * job.spec().checkpointIntervalSeconds());
    long unsavedMs = checkpointIntervalMs > 0 ? elapsedMs % checkpointIntervalMs : elapsedMs;
    long savedMs = elapsedMs - unsavedMs;
    return new EvacuationPlan.Task(
        job.spec().urgency().rank(),
        jobTimes.dueMs(job, nowMs),
        Math.max(0, estimatedRunTimeMs - savedMs),
        unsavedMs,
        job.spec().cores(),
        zone.equals(job.spec().zone()));
  }

  /**
   * Returns how long the task has run. If the task was placed by the previous leader and no
   * heartbeat has reported it since, half of its estimated run time is assumed; for other tasks not
   * reported as running, 0.
   */
  private static long elapsedRunTimeMs(Placement placement, long estimatedRunTimeMs, long nowMs) {
    if (placement.runningSinceMs() >= 0) {
      return nowMs - placement.runningSinceMs();
    }
    return placement.inherited() ? estimatedRunTimeMs / 2 : 0;
  }
}
