package dev.windbend.zone;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which machines of an unreachable zone are scaled in now, and in which order, as a pure
 * function. A task may start elsewhere only once its attempt is confirmed terminated, and scaling
 * in its machine is the fastest way to confirm that. Scale-in also ends work that could have
 * continued if the zone had returned. A machine is therefore scaled in when waiting for the end of
 * its lease costs more than the lost work, or would make a task miss its deadline.
 */
final class EvacuationPlan {
  /**
   * Assumed probability that a zone returns before its workers' leases end; there is no information
   * that favors either outcome.
   */
  private static final double RETURN_PROBABILITY = 0.5;

  private EvacuationPlan() {}

  /**
   * A task on a machine of the zone. Times are by the monotonic clock.
   *
   * @param rank rank of the job's priority; 0 is the highest priority
   * @param dueMs time at which the job is due
   * @param remainingMs estimated run time from the last checkpoint if the task is restarted
   * @param unsavedMs run time since the last checkpoint, which a restart would repeat
   * @param cores cores that the task uses
   * @param restrictedToZone whether the task may run in this zone only
   */
  record Task(
      int rank,
      long dueMs,
      long remainingMs,
      long unsavedMs,
      double cores,
      boolean restrictedToZone) {

    /** Returns how long the task's restart may be delayed without missing the deadline. */
    private long slackMs(long nowMs) {
      return dueMs - remainingMs - nowMs;
    }
  }

  /**
   * A silent or unresponsive machine of the zone.
   *
   * @param machine name of the machine
   * @param leaseEndMs time at which the tasks have certainly ended if the worker receives no
   *     response (monotonic clock)
   */
  record LostMachine(String machine, long leaseEndMs, List<Task> tasks) {
    private int highestRank() {
      return tasks.stream().mapToInt(Task::rank).min().orElse(Integer.MAX_VALUE);
    }

    private long earliestDueMs() {
      return highestRankTasks().mapToLong(Task::dueMs).min().orElse(Long.MAX_VALUE);
    }

    private long latestStartMs() {
      return highestRankTasks().mapToLong(t -> t.slackMs(0)).min().orElse(Long.MAX_VALUE);
    }

    private java.util.stream.Stream<Task> highestRankTasks() {
      int highestRank = highestRank();
      return tasks.stream().filter(t -> t.rank() == highestRank);
    }
  }

  /** By declared priority, then by the earliest due time, then by the latest possible start. */
  private static final Comparator<LostMachine> ORDER =
      Comparator.comparingInt(LostMachine::highestRank)
          .thenComparingLong(LostMachine::earliestDueMs)
          .thenComparingLong(LostMachine::latestStartMs)
          .thenComparing(LostMachine::machine);

  /**
   * Returns the machines to scale in now, in order. The others are kept in case the zone returns.
   *
   * @param maxBootMs how long a replacement machine takes to boot, at most
   * @param nowMs monotonic clock
   */
  static List<LostMachine> machinesToScaleIn(
      List<LostMachine> machines, long maxBootMs, long nowMs) {
    List<LostMachine> toScaleIn = new ArrayList<>();
    for (LostMachine machine : machines) {
      if (shouldScaleIn(machine, maxBootMs, nowMs)) {
        toScaleIn.add(machine);
      }
    }
    toScaleIn.sort(ORDER);
    return toScaleIn;
  }

  private static boolean shouldScaleIn(LostMachine machine, long maxBootMs, long nowMs) {
    if (nowMs >= machine.leaseEndMs()) {
      return true;
    }
    double expectedLossCoreMs = 0;
    double expectedWaitCoreMs = 0;
    for (Task task : machine.tasks()) {
      if (waitingWouldMissDeadline(task, machine.leaseEndMs(), maxBootMs, nowMs)) {
        return true;
      }
      double waitMs = task.restrictedToZone() ? 0 : machine.leaseEndMs() - nowMs;
      expectedLossCoreMs += RETURN_PROBABILITY * task.unsavedMs() * task.cores();
      expectedWaitCoreMs += (1 - RETURN_PROBABILITY) * waitMs * task.cores();
    }
    return expectedWaitCoreMs > expectedLossCoreMs;
  }

  /** Whether the task meets its deadline if moved now and misses it if moved at the lease's end. */
  private static boolean waitingWouldMissDeadline(
      Task task, long leaseEndMs, long maxBootMs, long nowMs) {
    return !task.restrictedToZone()
        && task.slackMs(nowMs) >= maxBootMs
        && task.slackMs(leaseEndMs) < maxBootMs;
  }
}
