package dev.windbend.plan;

/**
 * Number of a job's tasks in each zone, and the zones that the job's colocation and spread rules
 * allow for the next task.
 */
final class ZoneCounts {
  private static final int NO_ZONE = -1;

  private final boolean colocated;
  private final boolean spread;
  private final int maxPerZoneIfSpread;
  private final int[] perZone;

  /**
   * Zone of all tasks of a colocated job; {@link #NO_ZONE} until a task is counted, and for other
   * jobs.
   */
  private int colocationZone;

  /** Starts with the tasks that were placed before the cycle. */
  ZoneCounts(PendingJob job) {
    this.colocated = job.constraints().colocated();
    this.spread = job.constraints().spread();
    this.maxPerZoneIfSpread = (job.progress().tasks() + 1) / 2;
    this.perZone = job.progress().placedPerZone().clone();
    this.colocationZone = colocated ? firstUsedZone() : NO_ZONE;
  }

  private int firstUsedZone() {
    for (int zone = 0; zone < perZone.length; zone++) {
      if (perZone[zone] > 0) {
        return zone;
      }
    }
    return NO_ZONE;
  }

  /** Whether the counted tasks restrict the zone of the next task. */
  boolean constrainNext() {
    return spread || colocationZone != NO_ZONE;
  }

  boolean allowsNext(int zone) {
    return (colocationZone == NO_ZONE || colocationZone == zone)
        && (!spread || perZone[zone] + 1 <= maxPerZoneIfSpread);
  }

  void add(int zone) {
    perZone[zone]++;
    colocationZone = colocated ? zone : NO_ZONE;
  }
}
