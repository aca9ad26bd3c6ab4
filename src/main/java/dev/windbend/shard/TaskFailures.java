package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.job.JobRegistry;
import dev.windbend.job.Placement;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.runtime.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Attributes task failures to machines or jobs. A machine on which tasks of several jobs fail is
 * quarantined; a job whose tasks fail on several machines is delayed with exponential backoff.
 */
final class TaskFailures {
  private static final Logger LOG = LoggerFactory.getLogger(TaskFailures.class);

  /** A machine on which tasks of this number of jobs have failed is considered faulty. */
  private static final int FAILED_JOBS_FOR_QUARANTINE = 2;

  /** A job whose tasks have failed on this number of machines is most likely faulty itself. */
  private static final int FAILED_MACHINES_FOR_BACKOFF = 3;

  private static final long INITIAL_BACKOFF_MS = 5_000;
  private static final int MAX_BACKOFF_DOUBLINGS = 4;

  private final int shard;
  private final EventLoop loop;
  private final JobRegistry jobs;
  private final Fleet fleet;
  private final Runnable requestCycle;

  /**
   * Creates a handler of task failures for one shard.
   *
   * @param requestCycle called when a machine is quarantined
   */
  TaskFailures(int shard, EventLoop loop, JobRegistry jobs, Fleet fleet, Runnable requestCycle) {
    this.shard = shard;
    this.loop = loop;
    this.jobs = jobs;
    this.fleet = fleet;
    this.requestCycle = requestCycle;
  }

  /** Records that a task failed on a machine; quarantines the machine or delays the job. */
  void taskFailed(Placement placement, Machine machine) {
    Job job = placement.job();
    LOG.info(
        "task failed: shard={} machine={} task={}", shard, machine.name(), placement.taskName());
    job.backoff().recordFailedMachine(machine.name());
    machine.recordFailedJob(job.spec().uid());
    if (machine.countFailedJobs(this::countsAgainstMachines) >= FAILED_JOBS_FOR_QUARANTINE) {
      quarantine(machine);
    }
    if (job.backoff().failedMachineCount() >= FAILED_MACHINES_FOR_BACKOFF) {
      backOff(job);
    }
  }

  /**
   * Whether failures of the job's tasks count against machines: only if other tasks of the job have
   * succeeded. Faulty jobs fail on every machine, and two of them would cause healthy machines to
   * be quarantined, especially after a failover.
   */
  private boolean countsAgainstMachines(String uid) {
    Job job = jobs.find(uid);
    return job == null || job.completedCount() > 0;
  }

  private void quarantine(Machine machine) {
    if (!machine.cordoned()) {
      LOG.warn(
          "machine quarantined: shard={} machine={} cause=\"tasks of several jobs failed\"",
          shard,
          machine.name());
      machine.cordon();
      machine.tasks().values().forEach(MachineTransfers::stopGracefully);
      requestCycle.run();
    }
  }

  /** Delays the job, and no longer counts its failures against machines. */
  private void backOff(Job job) {
    job.backoff()
        .backOffUntil(
            loop.nowMs()
                + (INITIAL_BACKOFF_MS << Math.min(job.backoff().count(), MAX_BACKOFF_DOUBLINGS)));
    fleet.machines().forEach(machine -> machine.forgetFailedJob(job.spec().uid()));
    job.backoff().clearFailedMachines();
  }
}
