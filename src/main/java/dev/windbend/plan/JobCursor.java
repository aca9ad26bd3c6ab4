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

  private int left;
  private int started;
  private boolean leftWaiting;

  JobCursor(PendingJob job, int index) {
    this.job = job;
    this.index = index;
    this.constraints = job.constraints();
    this.assignedZones = new ZoneCounts(job);
    this.startedZones = new ZoneCounts(job);
    this.left = job.progress().waiting();
  }

  PendingJob job() {
    return job;
  }

  /** The job's place in the snapshot. */
  int index() {
    return index;
  }

  /** Tasks that have neither a place nor a reservation yet. */
  int left() {
    return left;
  }

  Resources resources() {
    return job.requirements().resources();
  }

  long estimateMs() {
    return job.requirements().estimateMs();
  }

  /** Whether the zones of its other tasks bind the next one. */
  boolean zoneBound() {
    return assignedZones.bind();
  }

  /** Whether the next task may run on this kind of machine: constraints and anti-affinity. */
  boolean mayUse(InstanceKind kind) {
    return allows(kind, assignedZones);
  }

  /** Whether the next task may run on the machine, if it has capacity. */
  boolean mayUse(MachineReservations machine) {
    return mayUse(machine.kind()) && !avoids(machine);
  }

  /** The same, were it to start now: reservations bind no zone. */
  boolean mayStartOn(MachineReservations machine) {
    return allows(machine.kind(), startedZones) && !avoids(machine);
  }

  private boolean allows(InstanceKind kind, ZoneCounts zones) {
    return constraints.allows(kind) && zones.allowNext(kind.zone());
  }

  private boolean avoids(MachineReservations machine) {
    return machine.inSnapshot() && constraints.avoidedMachines().contains(machine.index());
  }

  /** The next task is placed on the machine, or has a reservation there. */
  void assigned(MachineReservations machine) {
    assignedZones.add(machine.kind().zone());
    left--;
  }

  /** The task assigned last starts now. */
  void startedOn(MachineReservations machine) {
    startedZones.add(machine.kind().zone());
    started++;
  }

  /** Tasks that start now. */
  int started() {
    return started;
  }

  /** Tasks that the team's quota allows were not started. */
  void leaveWaiting() {
    leftWaiting = true;
  }

  /** Whether tasks that the team's quota allows were not started. */
  boolean leftWaiting() {
    return leftWaiting;
  }

  /** The tasks that are left but so many are given up for this cycle. */
  void giveUpDownTo(int keep) {
    left = keep;
  }
}
