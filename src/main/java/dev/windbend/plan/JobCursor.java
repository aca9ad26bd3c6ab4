package dev.windbend.plan;

/** A job being served in a cycle: how many of its tasks are left, and where the others went. */
final class JobCursor {
  private static final int NO_ZONE = -1;

  private final PendingJob job;
  private final int index;
  private final PendingJob.Constraints constraints;

  /** Placed tasks by zone, those included that the cycle places. */
  private final int[] placedPerZone;

  private int left;

  /** Where tasks that have to be in the same zone are; none as long as none is placed. */
  private int colocationZone;

  JobCursor(PendingJob job, int index) {
    this.job = job;
    this.index = index;
    this.constraints = job.constraints();
    this.placedPerZone = job.progress().placedPerZone().clone();
    this.left = job.progress().waiting();
    this.colocationZone = constraints.colocated() ? firstUsedZone() : NO_ZONE;
  }

  private int firstUsedZone() {
    for (int zone = 0; zone < placedPerZone.length; zone++) {
      if (placedPerZone[zone] > 0) {
        return zone;
      }
    }
    return NO_ZONE;
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
    return constraints.spread() || colocationZone != NO_ZONE;
  }

  /** Whether the next task may run on this kind of machine: constraints and anti-affinity. */
  boolean mayUse(InstanceKind kind) {
    return constraints.allows(kind)
        && (colocationZone == NO_ZONE || colocationZone == kind.zone())
        && (!constraints.spread()
            || placedPerZone[kind.zone()] + 1 <= (job.progress().tasks() + 1) / 2);
  }

  /** Whether the next task may run on the machine, if it has capacity. */
  boolean mayUse(MachineReservations machine) {
    return mayUse(machine.kind())
        && (!machine.inSnapshot() || !constraints.avoidedMachines().contains(machine.index()));
  }

  /** The next task is placed on the machine, or has a reservation there. */
  void assigned(MachineReservations machine) {
    placedPerZone[machine.kind().zone()]++;
    colocationZone = constraints.colocated() ? machine.kind().zone() : NO_ZONE;
    left--;
  }

  /** The tasks that are left but so many are given up for this cycle. */
  void giveUpDownTo(int keep) {
    left = keep;
  }
}
