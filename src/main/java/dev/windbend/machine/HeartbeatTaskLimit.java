package dev.windbend.machine;

import dev.windbend.job.JobSpec;
import dev.windbend.runtime.MessageLimits;

/**
 * Limits the tasks of a machine to as many as one heartbeat of its worker can list. A worker lists
 * each task until its exit is acknowledged, so tasks that have exited count too. A heartbeat that
 * exceeds the size of a request is rejected, and the worker's lease expires with all its tasks.
 */
public final class HeartbeatTaskLimit {
  /** Space for the fields of a heartbeat other than its list of tasks. */
  private static final int HEADER_BYTES = 1_024;

  /** The longest entry of the list that the protocol allows, with optional spaces. */
  private static final String LONGEST_TASK_STATE =
      "{\"drop\": \"wk-999999999999999999/99999\", \"run\": 18446744073709551615,"
          + " \"status\": \"exited\", \"cause\": \"no_room\", \"saved\": false}, ";

  /** Maximum number of tasks that a worker may have to list at the same time. */
  public static final int MAX_TASKS =
      (MessageLimits.MAX_REQUEST_BYTES - HEADER_BYTES) / LONGEST_TASK_STATE.length();

  /**
   * Maximum number of small tasks on a machine. The other slots are kept for larger tasks, so that
   * an array of small tasks does not keep them from cores that are free.
   */
  public static final int MAX_SMALL_TASKS = MAX_TASKS * 3 / 4;

  /** A task that needs less, and no GPU, is a small one. */
  private static final double SMALL_TASK_CORES = 1;

  private HeartbeatTaskLimit() {}

  /** Whether a task with these needs is a small one. */
  public static boolean isSmall(double cores, double gpus) {
    return cores < SMALL_TASK_CORES && gpus == 0;
  }

  /** Whether the tasks of a job are small ones. */
  public static boolean isSmall(JobSpec spec) {
    return isSmall(spec.cores(), spec.gpus());
  }
}
