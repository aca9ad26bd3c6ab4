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

/** Jobs whose tasks lost their machine with a zone, until all of their tasks run elsewhere. */
final class DisplacedJobs {
  /** So many are kept on record, so that the record stays within the size of a value. */
  static final int MAX_RECORDED_JOBS = 150;

  private record DisplacedJob(Job job, int zone, long lostMs) {}

  private final JobRegistry jobs;
  private final ZoneMetrics metrics;
  private final Map<String, DisplacedJob> jobsByUid = new LinkedHashMap<>();

  DisplacedJobs(JobRegistry jobs, ZoneMetrics metrics) {
    this.jobs = jobs;
    this.metrics = metrics;
  }

  /** A machine of the zone is proved gone, with a task of this job. */
  void add(Job job, int zone, long lostMs) {
    jobsByUid.putIfAbsent(job.spec().uid(), new DisplacedJob(job, zone, lostMs));
  }

  /** As a former owner left it. */
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

  /** Forgets the jobs that run again, are over or were cancelled, and measures how long it took. */
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

  /** The most urgent of a zone's displaced jobs, for the record. */
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
