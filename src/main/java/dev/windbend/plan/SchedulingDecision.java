package dev.windbend.plan;

import java.util.List;

/**
 * Actions decided by a scheduling cycle. Jobs, machines and offers are given by their indices in
 * the snapshot.
 *
 * @param preemptions tasks to preempt, before any placement
 * @param placements tasks to start
 * @param scaleOuts machines to request from the cloud
 * @param idleMachines indices of machines that are idle and have no reservation
 * @param scaleIns indices of the idle machines to release
 * @param coresAwaitingMachines cores of tasks that wait for machines that are not running yet or
 *     that the cloud does not offer
 * @param machinesExamined number of examinations of a machine for a job, as a measure of the cost
 *     of the cycle
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
   * A waiting task of a job, to be started on a machine.
   *
   * @param job index of the job
   * @param machine index of the machine
   */
  public record PlacedTask(int job, int machine) {}

  /**
   * A running task to stop.
   *
   * @param machine index of the machine
   * @param task index of the task among the machine's running tasks
   */
  public record PreemptedTask(int machine, int task) {}

  /**
   * Machines to request from the cloud.
   *
   * @param offer index of the offer
   * @param count number of machines
   */
  public record RequestedMachines(int offer, int count) {}
}
