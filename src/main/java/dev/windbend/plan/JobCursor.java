package dev.windbend.plan;

/**
 * The state of a job during a cycle: how many of its waiting tasks are unassigned, and the zones of
 * the others.
 */
final class JobCursor {
  private final PendingJob job;
  private final int index;
  private final PendingJob.Constraints constraints;

  /** Zones of the tasks that have a placement or a reservation. */
  private final ZoneCounts assignedZones;

  /** Zones of the tasks that have a placement; reservations are not counted. */
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

  /** Returns the index of the job in the snapshot. */
  int index() {
    return index;
  }

  /** Returns the number of tasks that have neither a placement nor a reservation yet. */
  int unassignedTasks() {
    return unassignedTasks;
  }

  Resources resources() {
    return job.requirements().resources();
  }

  long estimatedRunTimeMs() {
    return job.requirements().estimatedRunTimeMs();
  }

  /** Whether the zones of the job's other tasks restrict the zone of the next task. */
  boolean constrainedByZones() {
    return assignedZones.constrainNext();
  }

  /**
   * Whether the job's constraints and its zone rules allow the next task on machines with these
   * attributes.
   */
  boolean mayUse(MachineAttributes attributes) {
    return allows(attributes, assignedZones);
  }

  /**
   * Whether the next task may run on the machine, provided that the machine has enough free
   * capacity.
   */
  boolean mayUse(MachineReservations machine) {
    return mayUse(machine.attributes()) && !avoids(machine);
  }

  /**
   * Like {@link #mayUse(MachineReservations)}, but for a task that starts now: reservations of
   * other tasks do not restrict its zone.
   */
  boolean mayStartOn(MachineReservations machine) {
    return allows(machine.attributes(), startedZones) && !avoids(machine);
  }

  private boolean allows(MachineAttributes attributes, ZoneCounts zones) {
    return constraints.allows(attributes) && zones.allowsNext(attributes.zone());
  }

  private boolean avoids(MachineReservations machine) {
    return machine.inSnapshot() && constraints.avoidedMachines().contains(machine.index());
  }

  /** Records that the next task has a placement or a reservation on the machine. */
  void recordAssignment(MachineReservations machine) {
    assignedZones.add(machine.attributes().zone());
    unassignedTasks--;
  }

  /** Records that the task assigned last starts now. */
  void recordStart(MachineReservations machine) {
    startedZones.add(machine.attributes().zone());
    startedTasks++;
  }

  /** Returns the number of tasks that start now. */
  int startedTasks() {
    return startedTasks;
  }

  /** Records that tasks within the team's quota were not started. */
  void markLeftWaiting() {
    leftWaiting = true;
  }

  /** Whether tasks within the team's quota were not started. */
  boolean leftWaiting() {
    return leftWaiting;
  }

  /**
   * Reduces the number of unassigned tasks; the tasks in excess are not considered again in this
   * cycle.
   */
  void setUnassignedTasks(int tasksToLeave) {
    unassignedTasks = tasksToLeave;
  }
}
