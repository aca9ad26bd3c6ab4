package dev.windbend.zone;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * In which order the machines of an unreachable zone are given up, and which of them at once: a
 * pure function. A task may start elsewhere only once it is proved gone, and giving its machine
 * back to the cloud is the quickest proof. It ends work that might have come back with the zone, so
 * a machine is given up when waiting costs more than that, or would make a task late.
 */
final class EvacuationPlan {
  /** The chance that a zone is back before its workers' leases end, while nothing is known. */
  private static final double RETURN_PROBABILITY = 0.5;

  private EvacuationPlan() {}

  /**
   * A task on a machine of the zone.
   *
   * @param rank its priority, 0 is the highest
   * @param dueMs when its job is due
   * @param remainingMs what it would run elsewhere, from its last checkpoint
   * @param unsavedMs how much of its progress would be lost
   * @param restrictedToZone it may run in this zone only
   */
  record Task(
      int rank,
      long dueMs,
      long remainingMs,
      long unsavedMs,
      double cores,
      boolean restrictedToZone) {

    /** How late it may start elsewhere and still be in time. */
    private long slackMs(long nowMs) {
      return dueMs - remainingMs - nowMs;
    }
  }

  /**
   * A machine of the zone.
   *
   * @param leaseEndMs when its tasks have surely ended if nobody answers its worker
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

  /** Declared priority first, then what is due first, then what is closest to its limit. */
  private static final Comparator<LostMachine> ORDER =
      Comparator.comparingInt(LostMachine::highestRank)
          .thenComparingLong(LostMachine::earliestDueMs)
          .thenComparingLong(LostMachine::latestStartMs)
          .thenComparing(LostMachine::machine);

  /** The machines to be given up now, in this order; the others keep their chance to come back. */
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

  /** In time if it is moved now, late if its lease is waited for. */
  private static boolean waitingWouldMissDeadline(
      Task task, long leaseEndMs, long maxBootMs, long nowMs) {
    return !task.restrictedToZone()
        && task.slackMs(nowMs) >= maxBootMs
        && task.slackMs(leaseEndMs) < maxBootMs;
  }
}
