package dev.windbend.plan;

import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.List;

/**
 * A machine as a cycle sees it: what is free now if it is up, else all of it from a time on.
 *
 * @param attributes type, zone and price
 * @param up whether tasks can be placed on it now
 * @param nextResponseMs how long until it can be told to start or stop a task
 * @param readyMs when it should be up, if it isn't
 * @param free what its tasks leave of it
 * @param lifetime when it may go
 * @param images indices of the images that it has
 * @param running its tasks
 */
public record MachineCapacity(
    MachineAttributes attributes,
    boolean up,
    long nextResponseMs,
    long readyMs,
    Resources free,
    Lifetime lifetime,
    IntOpenHashSet images,
    List<RunningTask> running) {

  /**
   * When a machine may go.
   *
   * @param idle whether it has no task
   * @param paidUntilMs the end of its paid billing block
   * @param releasableFromMs when it has been idle for long enough to go before that end, if idle
   *     machines have more than the reserve
   */
  public record Lifetime(boolean idle, long paidUntilMs, long releasableFromMs) {}
}
