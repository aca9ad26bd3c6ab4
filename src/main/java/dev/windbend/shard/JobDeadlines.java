package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.machine.MachineType;
import dev.windbend.machine.MachineTypeCatalog;
import dev.windbend.plan.Deadline;
import dev.windbend.plan.RunTimeEstimates;
import dev.windbend.runtime.EventLoop;
import dev.windbend.zone.ZoneMonitor;

/** Estimates the run time of jobs' tasks and computes the jobs' deadlines. */
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

  /** Key of the run time statistics, which jobs of the same team and kind share. */
  private static String estimateKey(Job job) {
    return job.spec().team() + "/" + job.spec().kind();
  }

  /** Records the run time of a completed task of the job. */
  void recordCompletedTask(Job job, double runTimeSeconds) {
    estimates.recordRunTime(estimateKey(job), runTimeSeconds);
  }

  /** Estimated run time of a task of the job; at least {@link #MIN_ESTIMATED_RUN_TIME_SECONDS}. */
  double estimatedRunTimeSeconds(Job job) {
    return Math.max(
        MIN_ESTIMATED_RUN_TIME_SECONDS,
        estimates.estimatedRunTimeSeconds(estimateKey(job), job.spec().estimatedRunTimeSeconds()));
  }

  @Override
  public long estimatedRunTimeMs(Job job) {
    return Units.toMs(estimatedRunTimeSeconds(job));
  }

  /** Time since the job's submission, by the wall clock. */
  long ageMs(Job job) {
    return loop.wallMs() - job.submittedWallMs();
  }

  /** The next time limit that the job can still meet, else its last one. */
  Deadline nextDeadline(Job job, long ageMs) {
    double[] timeLimitsSeconds =
        deployment
            .objectives()
            .timeLimitsSeconds(
                job.spec().kind(),
                job.spec().dueSeconds(),
                policy.impliedDeadlineFactor() * job.spec().estimatedRunTimeSeconds(),
                policy.deadlinesFromObjectives());
    return Deadline.nextAttainable(
        timeLimitsSeconds, Units.toSeconds(ageMs), estimatedRunTimeSeconds(job));
  }

  @Override
  public long dueMs(Job job, long nowMs) {
    long ageMs = ageMs(job);
    return nowMs - ageMs + Units.toMs(nextDeadline(job, ageMs).dueSeconds());
  }

  /** Boot time of the machine type that boots slowest; 0 if no machine type is known. */
  double maxBootSeconds() {
    return catalog.all().stream().mapToDouble(MachineType::bootSeconds).max().orElse(0);
  }

  @Override
  public long maxBootMs() {
    return Units.toMs(maxBootSeconds());
  }
}
