package dev.windbend.plan;

/** A job being served in a cycle: how many of its tasks are left, and where the others went. */
final class JobCursor {
  private final PendingJob job;
  private final int index;
  private final PendingJob.Constraints constraints;

  /** Of the tasks that have a place or a reservation. */
  private final ZoneCounts assignedZones;

  /** Of the tasks that have a place, without reservations. */
  private final ZoneCounts startedZones;

  private int unassignedTasks;
  private int startedTasks;
  private boolean leftWaiting;

  JobCursor(PendingJob job, int index) {
    this.job = job;
    this.index = index;
    this.constraints = job.constraints();
    this.assignedZones = new ZoneCounts(job);
    this.startedZones = new ZoneCounts(job);
    this.unassignedTasks = job.progress().waiting();
  }

  PendingJob job() {
    return job;
  }

  /** The job's place in the snapshot. */
  int index() {
    return index;
  }

  /** Tasks that have neither a place nor a reservation yet. */
  int unassignedTasks() {
    return unassignedTasks;
  }

  Resources resources() {
    return job.requirements().resources();
  }

  long estimatedRunTimeMs() {
    return job.requirements().estimatedRunTimeMs();
  }

  /** Whether the zones of its other tasks bind the next one. */
  boolean constrainedByZones() {
    return assignedZones.constrainNext();
  }

  /** Whether the next task may run on this kind of machine: constraints and anti-affinity. */
  boolean mayUse(MachineAttributes kind) {
    return allows(kind, assignedZones);
  }

  /** Whether the next task may run on the machine, if it has capacity. */
  boolean mayUse(MachineReservations machine) {
    return mayUse(machine.attributes()) && !avoids(machine);
  }

  /** The same, were it to start now: reservations bind no zone. */
  boolean mayStartOn(MachineReservations machine) {
    return allows(machine.attributes(), startedZones) && !avoids(machine);
  }

  private boolean allows(MachineAttributes kind, ZoneCounts zones) {
    return constraints.allows(kind) && zones.allowsNext(kind.zone());
  }

  private boolean avoids(MachineReservations machine) {
    return machine.inSnapshot() && constraints.avoidedMachines().contains(machine.index());
  }

  /** The next task is placed on the machine, or has a reservation there. */
  void recordAssignment(MachineReservations machine) {
    assignedZones.add(machine.attributes().zone());
    unassignedTasks--;
  }

  /** The task assigned last starts now. */
  void recordStart(MachineReservations machine) {
    startedZones.add(machine.attributes().zone());
    startedTasks++;
  }

  /** Tasks that start now. */
  int startedTasks() {
    return startedTasks;
  }

  /** Tasks that the team's quota allows were not started. */
  void markLeftWaiting() {
    leftWaiting = true;
  }

  /** Whether tasks that the team's quota allows were not started. */
  boolean leftWaiting() {
    return leftWaiting;
  }

  /** The tasks that are left but so many are given up for this cycle. */
  void setUnassignedTasks(int keep) {
    unassignedTasks = keep;
  }
}
