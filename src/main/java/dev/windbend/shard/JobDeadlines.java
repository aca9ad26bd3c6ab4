package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.machine.MachineType;
import dev.windbend.machine.MachineTypeCatalog;
import dev.windbend.plan.Deadlines;
import dev.windbend.plan.Estimates;
import dev.windbend.runtime.EventLoop;
import dev.windbend.zone.ZoneMonitor;

/** How long the tasks of jobs run, as estimated, and when the jobs are due. */
final class JobDeadlines implements ZoneMonitor.JobTimes {
  private static final double MS = 1_000;
  private static final double SHORTEST_S = 1;

  private final EventLoop loop;
  private final MachineTypeCatalog catalog;
  private final DeploymentSpec facts;
  private final Policy policy;
  private final Estimates estimates;

  JobDeadlines(
      EventLoop loop,
      MachineTypeCatalog catalog,
      DeploymentSpec facts,
      Policy policy,
      Estimates estimates) {
    this.loop = loop;
    this.catalog = catalog;
    this.facts = facts;
    this.policy = policy;
    this.estimates = estimates;
  }

  /** Whose recent times tell how long a task will run. */
  private static String user(Job job) {
    return job.spec().team() + "/" + job.spec().kind();
  }

  /** A task of the job has completed after so long. */
  void finished(Job job, double ranS) {
    estimates.finished(user(job), ranS);
  }

  double estimateS(Job job) {
    return Math.max(SHORTEST_S, estimates.of(user(job), job.spec().estimateS()));
  }

  @Override
  public long estimateMs(Job job) {
    return (long) (MS * estimateS(job));
  }

  long ageMs(Job job) {
    return loop.wallMs() - job.submittedWallMs();
  }

  /** The next of its time limits that the job can still meet. */
  Deadlines next(Job job, long ageMs) {
    double[] limits =
        facts
            .objectives()
            .timeLimitsSeconds(
                job.spec().kind(),
                job.spec().dueS(),
                policy.impliedDeadlineFactor() * job.spec().estimateS(),
                policy.deadlinesFromObjectives());
    return Deadlines.next(limits, ageMs / MS, estimateS(job));
  }

  @Override
  public long dueMs(Job job, long nowMs) {
    long ageMs = ageMs(job);
    return nowMs - ageMs + (long) (MS * next(job, ageMs).dueS());
  }

  @Override
  public long bootMs() {
    return (long) (MS * catalog.all().stream().mapToDouble(MachineType::bootS).max().orElse(0));
  }
}
