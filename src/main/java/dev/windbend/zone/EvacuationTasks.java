package dev.windbend.zone;

import dev.windbend.job.Job;
import dev.windbend.job.Placement;
import dev.windbend.machine.Machine;
import java.util.ArrayList;
import java.util.List;

/** What the evacuation needs to know of the tasks on a lost machine. */
final class EvacuationTasks {
  private static final double MS = 1_000;

  private final ZoneMonitor.JobTimes times;

  EvacuationTasks(ZoneMonitor.JobTimes times) {
    this.times = times;
  }

  List<EvacuationPlan.Task> on(Machine machine, String zone, long nowMs) {
    List<EvacuationPlan.Task> all = new ArrayList<>();
    for (Placement p : machine.tasks().values()) {
      all.add(task(p, zone, nowMs));
    }
    return all;
  }

  private EvacuationPlan.Task task(Placement p, String zone, long nowMs) {
    Job job = p.job();
    long estimateMs = times.estimateMs(job);
    long ranMs = ranMs(p, estimateMs, nowMs);
    long stepMs = (long) (MS * job.spec().checkpointIntervalSeconds());
    long unsavedMs = stepMs > 0 ? ranMs % stepMs : ranMs;
    long savedMs = ranMs - unsavedMs;
    return new EvacuationPlan.Task(
        job.spec().urgency().rank(),
        times.dueMs(job, nowMs),
        Math.max(0, estimateMs - savedMs),
        unsavedMs,
        job.spec().cores(),
        zone.equals(job.spec().zone()));
  }

  /** A task taken over from a former owner and not heard of since is half way, for all we know. */
  private static long ranMs(Placement p, long estimateMs, long nowMs) {
    if (p.runningSinceMs() >= 0) {
      return nowMs - p.runningSinceMs();
    }
    return p.inherited() ? estimateMs / 2 : 0;
  }
}
