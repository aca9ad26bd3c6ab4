package dev.windbend.plan;

import java.util.List;

/**
 * What a scheduling cycle wants done; all numbers are indices into its snapshot.
 *
 * @param preemptions tasks to stop for more urgent ones, before any placement
 * @param placements tasks to start
 * @param scaleOuts machines to request of the cloud
 * @param idleMachines machines that are idle and not reserved
 * @param scaleIns those of them to give back to the cloud
 * @param coresAwaitingMachines cores of tasks that wait for machines that are not up yet, or that
 *     the cloud doesn't offer
 * @param machinesExamined how often a machine was examined for a job, which is what a cycle costs
 */
public record SchedulingDecision(
    List<PreemptedTask> preemptions,
    List<PlacedTask> placements,
    List<RequestedMachines> scaleOuts,
    List<Integer> idleMachines,
    List<Integer> scaleIns,
    double coresAwaitingMachines,
    int machinesExamined) {

  /**
   * One of a job's waiting tasks starts on a machine.
   *
   * @param job the job's index
   * @param machine the machine's index
   */
  public record PlacedTask(int job, int machine) {}

  /**
   * A running task makes way.
   *
   * @param machine the machine's index
   * @param task the task's index on its machine
   */
  public record PreemptedTask(int machine, int task) {}

  /**
   * Machines to request of the cloud.
   *
   * @param offer the offer's index
   * @param count how many
   */
  public record RequestedMachines(int offer, int count) {}
}
