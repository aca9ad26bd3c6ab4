package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.machine.MachineType;
import dev.windbend.machine.MachineTypeCatalog;
import dev.windbend.plan.Deadline;
import dev.windbend.plan.RunTimeEstimates;
import dev.windbend.runtime.EventLoop;
import dev.windbend.zone.ZoneMonitor;

/** How long the tasks of jobs run, as estimated, and when the jobs are due. */
final class JobDeadlines implements ZoneMonitor.JobTimes {
  private static final double MIN_ESTIMATED_RUN_TIME_SECONDS = 1;

  private final EventLoop loop;
  private final MachineTypeCatalog catalog;
  private final DeploymentSpec deployment;
  private final Policy policy;
  private final RunTimeEstimates estimates;

  JobDeadlines(
      EventLoop loop,
      MachineTypeCatalog catalog,
      DeploymentSpec deployment,
      Policy policy,
      RunTimeEstimates estimates) {
    this.loop = loop;
    this.catalog = catalog;
    this.deployment = deployment;
    this.policy = policy;
    this.estimates = estimates;
  }

  /** Jobs of the same team and kind share their recent run times. */
  private static String estimateKey(Job job) {
    return job.spec().team() + "/" + job.spec().kind();
  }

  /** A task of the job has completed after running for so long. */
  void recordCompletedTask(Job job, double runTimeSeconds) {
    estimates.recordRunTime(estimateKey(job), runTimeSeconds);
  }

  /** How long a task of the job runs, as estimated. */
  double estimatedRunTimeSeconds(Job job) {
    return Math.max(
        MIN_ESTIMATED_RUN_TIME_SECONDS,
        estimates.estimateSeconds(estimateKey(job), job.spec().estimateS()));
  }

  @Override
  public long estimateMs(Job job) {
    return Units.toMs(estimatedRunTimeSeconds(job));
  }

  /** Time since the job's submission. */
  long ageMs(Job job) {
    return loop.wallMs() - job.submittedWallMs();
  }

  /** The next of its time limits that the job can still meet. */
  Deadline nextDeadline(Job job, long ageMs) {
    double[] timeLimitsSeconds =
        deployment
            .objectives()
            .timeLimitsSeconds(
                job.spec().kind(),
                job.spec().dueS(),
                policy.impliedDeadlineFactor() * job.spec().estimateS(),
                policy.deadlinesFromObjectives());
    return Deadline.nextAttainable(
        timeLimitsSeconds, Units.toSeconds(ageMs), estimatedRunTimeSeconds(job));
  }

  @Override
  public long dueMs(Job job, long nowMs) {
    long ageMs = ageMs(job);
    return nowMs - ageMs + Units.toMs(nextDeadline(job, ageMs).dueSeconds());
  }

  /** How long the slowest type of machine takes to boot; 0: no type is known. */
  double maxBootSeconds() {
    return catalog.all().stream().mapToDouble(MachineType::bootS).max().orElse(0);
  }

  @Override
  public long bootMs() {
    return Units.toMs(maxBootSeconds());
  }
}
