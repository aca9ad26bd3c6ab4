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
  private static final double RETURN_CHANCE = 0.5;

  private EvacuationPlan() {}

  /**
   * A task on a machine of the zone.
   *
   * @param rank its priority, 0 is the highest
   * @param dueMs when its job is due
   * @param remainingMs what it would run elsewhere, from its last checkpoint
   * @param unsavedMs how much of its progress would be lost
   * @param bound it may run in this zone only
   */
  record Task(int rank, long dueMs, long remainingMs, long unsavedMs, double cores, boolean bound) {

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
  record Lost(String machine, long leaseEndMs, List<Task> tasks) {
    private int rank() {
      return tasks.stream().mapToInt(Task::rank).min().orElse(Integer.MAX_VALUE);
    }

    private long dueMs() {
      return urgent().mapToLong(Task::dueMs).min().orElse(Long.MAX_VALUE);
    }

    private long latestStartMs() {
      return urgent().mapToLong(t -> t.slackMs(0)).min().orElse(Long.MAX_VALUE);
    }

    private java.util.stream.Stream<Task> urgent() {
      int rank = rank();
      return tasks.stream().filter(t -> t.rank() == rank);
    }
  }

  /** Declared priority first, then what is due first, then what is closest to its limit. */
  private static final Comparator<Lost> ORDER =
      Comparator.comparingInt(Lost::rank)
          .thenComparingLong(Lost::dueMs)
          .thenComparingLong(Lost::latestStartMs)
          .thenComparing(Lost::machine);

  /** The machines to be given up now, in this order; the others keep their chance to come back. */
  static List<Lost> giveUp(List<Lost> machines, long bootMs, long nowMs) {
    List<Lost> now = new ArrayList<>();
    for (Lost machine : machines) {
      if (mayGo(machine, bootMs, nowMs)) {
        now.add(machine);
      }
    }
    now.sort(ORDER);
    return now;
  }

  private static boolean mayGo(Lost machine, long bootMs, long nowMs) {
    if (nowMs >= machine.leaseEndMs()) {
      return true;
    }
    double lost = 0;
    double waited = 0;
    for (Task task : machine.tasks()) {
      if (wouldBeLate(task, machine.leaseEndMs(), bootMs, nowMs)) {
        return true;
      }
      double waitMs = task.bound() ? 0 : machine.leaseEndMs() - nowMs;
      lost += RETURN_CHANCE * task.unsavedMs() * task.cores();
      waited += (1 - RETURN_CHANCE) * waitMs * task.cores();
    }
    return waited > lost;
  }

  /** In time if it is moved now, late if its lease is waited for. */
  private static boolean wouldBeLate(Task task, long leaseEndMs, long bootMs, long nowMs) {
    return !task.bound() && task.slackMs(nowMs) >= bootMs && task.slackMs(leaseEndMs) < bootMs;
  }
}
