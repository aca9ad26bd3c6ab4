package dev.windbend.plan;

import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.List;

/**
 * Capacity of a machine in a snapshot: the free resources of a running machine, or the resources
 * that a requested machine will have once it is ready.
 *
 * @param attributes type, zone and price of the machine
 * @param up whether the machine is running, so that tasks can be placed on it now
 * @param nextResponseMs time in milliseconds until the next heartbeat response, which carries
 *     commands to start or stop tasks
 * @param readyMs time when the machine should be ready, if it is not running
 * @param free resources that its tasks do not use
 * @param lifetime when the machine may be released
 * @param images indices of the images that are present on the machine
 * @param running tasks that run on the machine
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
   * When a machine may be released.
   *
   * @param idle whether the machine has no task
   * @param paidUntilMs end of the paid billing block
   * @param releasableFromMs earliest time at which the machine may be released before the end of
   *     its paid block; applies only to idle capacity beyond the reserve
   */
  public record Lifetime(boolean idle, long paidUntilMs, long releasableFromMs) {}
}
