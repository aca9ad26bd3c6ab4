package dev.windbend.machine;

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

  private HeartbeatTaskLimit() {}
}
