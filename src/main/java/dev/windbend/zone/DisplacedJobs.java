package dev.windbend.zone;

import dev.windbend.job.Job;
import dev.windbend.job.JobRegistry;
import dev.windbend.job.Placement;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Jobs with tasks that lost their machine with a zone, until all tasks of the job run again. */
final class DisplacedJobs {
  /**
   * Maximum number of jobs in a zone's record; keeps the record within the size limit of a value.
   */
  static final int MAX_RECORDED_JOBS = 150;

  private record DisplacedJob(Job job, int zone, long lostMs) {}

  private final JobRegistry jobs;
  private final ZoneMetrics metrics;
  private final Map<String, DisplacedJob> jobsByUid = new LinkedHashMap<>();

  DisplacedJobs(JobRegistry jobs, ZoneMetrics metrics) {
    this.jobs = jobs;
    this.metrics = metrics;
  }

  /**
   * Adds a job with a task on a machine that is confirmed terminated.
   *
   * @param zone index of the machine's zone
   * @param lostMs when the zone was lost (monotonic clock)
   */
  void add(Job job, int zone, long lostMs) {
    jobsByUid.putIfAbsent(job.spec().uid(), new DisplacedJob(job, zone, lostMs));
  }

  /** Adds a job that the previous leader recorded as displaced, if the job still exists. */
  void restore(String uid, int zone, long lostMs) {
    Job job = jobs.find(uid);
    if (job != null) {
      add(job, zone, lostMs);
    }
  }

  boolean contains(Job job) {
    return jobsByUid.containsKey(job.spec().uid());
  }

  int countInZone(int zone) {
    return (int) jobsByUid.values().stream().filter(d -> d.zone == zone).count();
  }

  /**
   * Removes the jobs that run again, have ended or were cancelled. For jobs that run again, records
   * the time since the zone was lost.
   */
  void update(long nowMs) {
    Iterator<DisplacedJob> iterator = jobsByUid.values().iterator();
    while (iterator.hasNext()) {
      DisplacedJob displacedJob = iterator.next();
      boolean known = jobs.find(displacedJob.job.spec().uid()) == displacedJob.job;
      if (!known || displacedJob.job.cancelled() || displacedJob.job.finished()) {
        iterator.remove();
      } else if (allTasksRunning(displacedJob.job)) {
        metrics.recordJobRestarted(displacedJob.job.spec().urgency(), nowMs - displacedJob.lostMs);
        iterator.remove();
      }
    }
  }

  private static boolean allTasksRunning(Job job) {
    return job.waitingCount() == 0
        && job.placements().stream().allMatch(DisplacedJobs::isConfirmedRunning);
  }

  private static boolean isConfirmedRunning(Placement placement) {
    return placement.reported();
  }

  /** Returns the ids of the zone's displaced jobs for its record, the most urgent ones first. */
  List<String> uidsToRecord(int zone) {
    List<DisplacedJob> inZone = new ArrayList<>();
    for (DisplacedJob displacedJob : jobsByUid.values()) {
      if (displacedJob.zone == zone) {
        inZone.add(displacedJob);
      }
    }
    inZone.sort(Comparator.comparingInt(displacedJob -> displacedJob.job.spec().urgency().rank()));
    return inZone.stream()
        .limit(MAX_RECORDED_JOBS)
        .map(displacedJob -> displacedJob.job.spec().uid())
        .toList();
  }
}
