package dev.windbend.plan;

import java.util.List;

/**
 * What a scheduling cycle wants done; all numbers are indices into its snapshot.
 *
 * @param preemptions tasks to stop for more urgent ones, before any placement
 * @param placements tasks to start
 * @param scaleOuts machines to request of the cloud
 * @param idle machines that are idle and not reserved
 * @param scaleIns those of them to give back to the cloud
 * @param lackingCores cores of tasks that wait for machines that are not up yet, or that the cloud
 *     doesn't offer
 * @param machinesExamined how often a machine was examined for a job, which is what a cycle costs
 */
public record SchedulingDecision(
    List<Preempt> preemptions,
    List<Place> placements,
    List<ScaleOut> scaleOuts,
    List<Integer> idle,
    List<Integer> scaleIns,
    double lackingCores,
    int machinesExamined) {

  /**
   * One of a job's waiting tasks starts on a machine.
   *
   * @param job the job's index
   * @param machine the machine's index
   */
  public record Place(int job, int machine) {}

  /**
   * A running task makes way.
   *
   * @param machine the machine's index
   * @param task the task's index on its machine
   */
  public record Preempt(int machine, int task) {}

  /**
   * Machines to request of the cloud.
   *
   * @param offer the offer's index
   * @param count how many
   */
  public record ScaleOut(int offer, int count) {}
}
