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
 * Whose fault it is that tasks fail: a machine's, which is emptied, or their job's, which waits.
 */
final class TaskFailures {
  private static final Logger LOG = LoggerFactory.getLogger(TaskFailures.class);

  /** A machine on which tasks of so many jobs failed is faulty. */
  private static final int BAD_JOBS = 2;

  /** A job whose tasks failed on so many machines was submitted with a mistake, most likely. */
  private static final int BAD_MACHINES = 3;

  private static final long BACK_OFF_MS = 5_000;
  private static final int BACK_OFF_DOUBLINGS = 4;

  private final EventLoop loop;
  private final JobRegistry jobs;
  private final Fleet fleet;
  private final Runnable wantRound;

  TaskFailures(EventLoop loop, JobRegistry jobs, Fleet fleet, Runnable wantRound) {
    this.loop = loop;
    this.jobs = jobs;
    this.fleet = fleet;
    this.wantRound = wantRound;
  }

  void failed(Placement p, Machine m) {
    Job job = p.job();
    LOG.info("{} failed on {}", p.taskName(), m.name());
    job.recordFailedMachine(m.name());
    m.recordFailedJob(job.spec().uid());
    if (m.countFailedJobs(this::runsElsewhere) >= BAD_JOBS) {
      quarantine(m);
    }
    if (job.failedMachineCount() >= BAD_MACHINES) {
      // It fails everywhere: the job's fault, most likely. Machines are blamed no more for it.
      job.backOffUntil(
          loop.nowMs() + (BACK_OFF_MS << Math.min(job.backOffs(), BACK_OFF_DOUBLINGS)));
      fleet.machines().forEach(x -> x.forgetFailedJob(job.spec().uid()));
      job.clearFailedMachines();
    }
  }

  /**
   * Only then is its failure the machine's fault: jobs submitted with a mistake fail on every
   * machine, and two of them would have good machines quarantined, most of all after a takeover.
   */
  private boolean runsElsewhere(String uid) {
    Job job = jobs.find(uid);
    return job == null || job.doneCount() > 0;
  }

  private void quarantine(Machine m) {
    if (!m.cordoned()) {
      LOG.warn("{} fails tasks of several jobs: quarantined", m.name());
      m.cordon();
      m.tasks().values().forEach(p -> p.stop(p.job().spec().saveS() + 1));
      wantRound.run();
    }
  }
}
