package dev.windbend.plan;

import java.util.ArrayList;
import java.util.List;

/** What a cycle has decided so far: reservations, use of quotas, placements and preemptions. */
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

  /** Those of the snapshot in its order, then those that the cycle requests. */
  List<MachineReservations> machines() {
    return machines;
  }

  DecisionTrace trace() {
    return trace;
  }

  /** A job has been served, after all of higher priority. */
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

  /** Tasks with so many cores wait for machines that are not up. */
  void addCoresAwaitingMachines(double cores) {
    coresAwaitingMachines += cores;
  }

  /** How many more of the job's tasks its team's quota allows. */
  int tasksWithinQuota(PendingJob job) {
    Snapshot.Team team = snapshot.teams().get(job.team());
    Resources need = job.requirements().resources();
    return new Resources(
            team.maxCores() - usedCores[job.team()], team.maxGpus() - usedGpus[job.team()], 0)
        .timesFits(new Resources(need.cores(), need.gpus(), 0));
  }

  /** Whether the job's next task may start on the machine, if it has capacity. */
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

  /** Reserves capacity for the job's next task, which counts for its team's quota at once. */
  void reserve(JobCursor cursor, MachineReservations machine, long atMs) {
    PendingJob job = cursor.job();
    Resources need = cursor.resources();
    machine.reserve(atMs, machine.runMs(job.requirements()), need);
    usedCores[job.team()] += need.cores();
    usedGpus[job.team()] += need.gpus();
    cursor.recordAssignment(machine);
  }

  /** Starts the job's next task. */
  void place(JobCursor cursor, MachineReservations machine) {
    reserve(cursor, machine, nowMs());
    cursor.recordStart(machine);
    placements.add(new SchedulingDecision.PlacedTask(cursor.index(), machine.index()));
  }

  /** Stops a running task, which counts for its team's quota until it is proved gone. */
  void preempt(MachineReservations machine, int task) {
    machine.preempt(task);
    preemptions.add(new SchedulingDecision.PreemptedTask(machine.index(), task));
  }

  /** Adds a machine that the cycle requests of the cloud. */
  MachineReservations addRequested(InstanceOffer offer) {
    MachineReservations machine = new MachineReservations(offer, nowMs());
    machines.add(machine);
    unavailableSizes.clear();
    return machine;
  }
}
