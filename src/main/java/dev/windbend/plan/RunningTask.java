package dev.windbend.plan;

/**
 * A task on a machine.
 *
 * @param endMs when it should end
 * @param resources what it uses
 * @param rank its job's priority; 0 is the highest
 * @param lostMs run time that stopping it now would lose; -1: it can't be stopped, or is being so
 */
public record RunningTask(long endMs, Resources resources, int rank, long lostMs) {
  /** Whether the task may be stopped for another. */
  public boolean preemptible() {
    return lostMs >= 0;
  }

  /** The work that stopping it now would lose, in core milliseconds. */
  public double lostWork() {
    return lostMs * resources.cores();
  }
}
