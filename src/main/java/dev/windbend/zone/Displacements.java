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
final class Displacements {
  /** So many are kept on record, so that the record stays within the size of a value. */
  static final int MOST_RECORDED = 150;

  private record Displaced(Job job, int zone, long lostMs) {}

  private final JobRegistry jobs;
  private final ZoneMetrics metrics;
  private final Map<String, Displaced> displaced = new LinkedHashMap<>();

  Displacements(JobRegistry jobs, ZoneMetrics metrics) {
    this.jobs = jobs;
    this.metrics = metrics;
  }

  /** A machine of the zone is proved gone, with a task of this job. */
  void add(Job job, int zone, long lostMs) {
    displaced.putIfAbsent(job.spec().uid(), new Displaced(job, zone, lostMs));
  }

  /** As a former owner left it. */
  void restore(String uid, int zone, long lostMs) {
    Job job = jobs.find(uid);
    if (job != null) {
      add(job, zone, lostMs);
    }
  }

  boolean contains(Job job) {
    return displaced.containsKey(job.spec().uid());
  }

  int count(int zone) {
    return (int) displaced.values().stream().filter(d -> d.zone == zone).count();
  }

  /** Forgets the jobs that run again, are over or were cancelled, and measures how long it took. */
  void update(long nowMs) {
    Iterator<Displaced> all = displaced.values().iterator();
    while (all.hasNext()) {
      Displaced d = all.next();
      boolean known = jobs.find(d.job.spec().uid()) == d.job;
      if (!known || d.job.cancelled() || d.job.finished()) {
        all.remove();
      } else if (runsAgain(d.job)) {
        metrics.runsAgain(d.job.spec().urgency(), nowMs - d.lostMs);
        all.remove();
      }
    }
  }

  private static boolean runsAgain(Job job) {
    return job.waitingCount() == 0
        && job.placements().stream().allMatch(Displacements::confirmedRunning);
  }

  private static boolean confirmedRunning(Placement placement) {
    return placement.reported();
  }

  /** The most urgent of a zone's displaced jobs, for the record. */
  List<String> recorded(int zone) {
    List<Displaced> all = new ArrayList<>();
    for (Displaced d : displaced.values()) {
      if (d.zone == zone) {
        all.add(d);
      }
    }
    all.sort(Comparator.comparingInt(d -> d.job.spec().urgency().rank()));
    return all.stream().limit(MOST_RECORDED).map(d -> d.job.spec().uid()).toList();
  }
}
