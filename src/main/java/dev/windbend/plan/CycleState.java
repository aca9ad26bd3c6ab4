package dev.windbend.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * Decisions made so far in a scheduling cycle: reservations, quota usage, placements and
 * preemptions.
 */
final class CycleState {
  private final Snapshot snapshot;
  private final List<MachineReservations> machines;
  private final double[] usedCores;
  private final double[] usedGpus;
  private final List<SchedulingDecision.PlacedTask> placements = new ArrayList<>();
  private final List<SchedulingDecision.PreemptedTask> preemptions = new ArrayList<>();
  private final UnavailableSizes unavailableSizes = new UnavailableSizes();
  private final DecisionTrace trace;
  private final DisplacedPrecedence displacedPrecedence;
  private double coresAwaitingMachines;
  private int machinesExamined;

  CycleState(Snapshot snapshot, DecisionTrace trace) {
    this.snapshot = snapshot;
    this.trace = trace;
    this.machines = new ArrayList<>(snapshot.machines().size());
    this.usedCores = snapshot.teams().stream().mapToDouble(Snapshot.Team::usedCores).toArray();
    this.usedGpus = snapshot.teams().stream().mapToDouble(Snapshot.Team::usedGpus).toArray();
    for (int i = 0; i < snapshot.machines().size(); i++) {
      machines.add(new MachineReservations(snapshot.machines().get(i), i, snapshot.nowMs()));
    }
    this.displacedPrecedence = new DisplacedPrecedence(machines);
  }

  Snapshot snapshot() {
    return snapshot;
  }

  long nowMs() {
    return snapshot.nowMs();
  }

  /**
   * Returns the machines of the snapshot in snapshot order, followed by those that the cycle
   * requests.
   */
  List<MachineReservations> machines() {
    return machines;
  }

  DecisionTrace trace() {
    return trace;
  }

  /** Records that a job has been served. Jobs of higher priority must have been served before. */
  void recordServed(JobCursor cursor) {
    displacedPrecedence.recordServed(cursor);
  }

  UnavailableSizes unavailableSizes() {
    return unavailableSizes;
  }

  List<SchedulingDecision.PlacedTask> placements() {
    return placements;
  }

  List<SchedulingDecision.PreemptedTask> preemptions() {
    return preemptions;
  }

  double coresAwaitingMachines() {
    return coresAwaitingMachines;
  }

  int machinesExamined() {
    return machinesExamined;
  }

  void addMachinesExamined(int count) {
    machinesExamined += count;
  }

  /** Adds the cores of tasks that wait for machines that are not running yet. */
  void addCoresAwaitingMachines(double cores) {
    coresAwaitingMachines += cores;
  }

  /** Returns how many more tasks of the job fit into its team's quota. */
  int tasksWithinQuota(PendingJob job) {
    Snapshot.Team team = snapshot.teams().get(job.team());
    Resources need = job.requirements().resources();
    return new Resources(
            team.maxCores() - usedCores[job.team()], team.maxGpus() - usedGpus[job.team()], 0, 0, 0)
        .timesFits(new Resources(need.cores(), need.gpus(), 0, 0, 0));
  }

  /**
   * Whether the job's next task may start on the machine now, provided that the machine has enough
   * free capacity.
   */
  boolean mayStart(JobCursor cursor, MachineReservations machine) {
    if (!machine.up() || !cursor.mayUse(machine)) {
      return false;
    }
    if (displacedPrecedence.blocks(cursor, machine)) {
      trace.recordObstacle(cursor, DecisionTrace.Obstacle.HIGHER_DISPLACED_TASK);
      return false;
    }
    return true;
  }

  /**
   * Reserves capacity for the job's next task. The task counts towards its team's quota
   * immediately.
   */
  void reserve(JobCursor cursor, MachineReservations machine, long atMs) {
    PendingJob job = cursor.job();
    Resources need = cursor.resources();
    machine.reserve(atMs, machine.runMs(job.requirements()), need);
    usedCores[job.team()] += need.cores();
    usedGpus[job.team()] += need.gpus();
    cursor.recordAssignment(machine);
  }

  /** Places the job's next task on the machine, to start now. */
  void place(JobCursor cursor, MachineReservations machine) {
    reserve(cursor, machine, nowMs());
    cursor.recordStart(machine);
    placements.add(new SchedulingDecision.PlacedTask(cursor.index(), machine.index()));
  }

  /**
   * Preempts a running task. The task counts towards its team's quota until it is confirmed
   * terminated.
   */
  void preempt(MachineReservations machine, int task) {
    machine.preempt(task);
    preemptions.add(new SchedulingDecision.PreemptedTask(machine.index(), task));
  }

  /** Adds a machine that the cycle requests from the cloud. */
  MachineReservations addRequested(InstanceOffer offer) {
    MachineReservations machine = new MachineReservations(offer, nowMs());
    machines.add(machine);
    unavailableSizes.clear();
    return machine;
  }
}
