package dev.windbend.job;

import java.util.HashSet;
import java.util.Set;

/**
 * The machines on which a job's tasks failed, and how long the placement of its tasks is deferred.
 */
public final class JobBackoff {
  private long notBeforeMs;
  private int count;
  private final Set<String> failedMachines = new HashSet<>();

  JobBackoff() {}

  /**
   * Returns the time before which no task is placed, in milliseconds of the monotonic clock; 0 if
   * there is none.
   */
  public long notBeforeMs() {
    return notBeforeMs;
  }

  /** Returns how often the job was backed off because its tasks failed on several machines. */
  public int count() {
    return count;
  }

  /** Returns the names of the machines on which the job's tasks failed since its last back-off. */
  public Iterable<String> failedMachines() {
    return failedMachines;
  }

  /** Returns on how many machines the job's tasks failed since its last back-off. */
  public int failedMachineCount() {
    return failedMachines.size();
  }

  /** Records that a task of the job failed on the machine, which is avoided from now on. */
  public void recordFailedMachine(String machineName) {
    failedMachines.add(machineName);
  }

  /** Clears the failed machines, so that none of them is avoided any more. */
  public void clearFailedMachines() {
    failedMachines.clear();
  }

  /** Defers the placement of tasks until the given time (monotonic clock, milliseconds). */
  public void deferUntil(long untilMs) {
    notBeforeMs = untilMs;
  }

  /**
   * Defers the placement of tasks until the given time (monotonic clock, milliseconds) because
   * tasks failed on several machines, and counts the back-off.
   */
  public void backOffUntil(long untilMs) {
    count++;
    notBeforeMs = untilMs;
  }
}
