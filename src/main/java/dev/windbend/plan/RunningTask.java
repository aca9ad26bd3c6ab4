package dev.windbend.plan;

/**
 * A task that runs on a machine.
 *
 * @param endMs estimated end time
 * @param resources resources that the task uses
 * @param rank priority of the task's job; 0 is the highest
 * @param lostMs run time in milliseconds that would be lost by stopping the task now; -1 if it
 *     cannot be preempted or is already being stopped
 */
public record RunningTask(long endMs, Resources resources, int rank, long lostMs) {
  /** Whether the task may be preempted. */
  public boolean preemptible() {
    return lostMs >= 0;
  }

  /** Returns the work that would be lost by stopping the task now, in core milliseconds. */
  public double lostWork() {
    return lostMs * resources.cores();
  }
}
