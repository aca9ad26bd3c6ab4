package dev.windbend.plan;

/**
 * Amounts of resources that a task needs or a machine has. Differences may be negative.
 *
 * @param cores CPU cores; fractions are allowed
 * @param gpus GPUs; fractions are allowed
 * @param memoryGb memory in GB
 * @param taskSlots number of tasks; a machine's worker can list only so many in a heartbeat
 * @param smallTaskSlots number of small tasks, which may not take all task slots of a machine
 */
public record Resources(
    double cores, double gpus, double memoryGb, int taskSlots, int smallTaskSlots) {
  /** Zero of each resource. */
  public static final Resources NONE = new Resources(0, 0, 0, 0, 0);

  /**
   * Amounts that differ by less count as equal, because floating-point sums depend on the order of
   * their terms.
   */
  private static final double TOLERANCE = 1e-6;

  /** Result of {@link #timesFits} for a need of nothing; more tasks than any job has. */
  private static final double UNLIMITED = 1e9;

  /** Returns the resources that one task needs, which is not a small one. */
  public static Resources ofTask(double cores, double gpus, double memoryGb) {
    return new Resources(cores, gpus, memoryGb, 1, 0);
  }

  /** Returns the resources that one small task needs. */
  public static Resources ofSmallTask(double cores, double memoryGb) {
    return new Resources(cores, 0, memoryGb, 1, 1);
  }

  /** Returns the sum of both. */
  public Resources plus(Resources other) {
    return new Resources(
        cores + other.cores,
        gpus + other.gpus,
        memoryGb + other.memoryGb,
        taskSlots + other.taskSlots,
        smallTaskSlots + other.smallTaskSlots);
  }

  /** Returns this minus the other. */
  public Resources minus(Resources other) {
    return new Resources(
        cores - other.cores,
        gpus - other.gpus,
        memoryGb - other.memoryGb,
        taskSlots - other.taskSlots,
        smallTaskSlots - other.smallTaskSlots);
  }

  /** Returns the smaller amount of each resource. */
  public Resources min(Resources other) {
    return new Resources(
        Math.min(cores, other.cores),
        Math.min(gpus, other.gpus),
        Math.min(memoryGb, other.memoryGb),
        Math.min(taskSlots, other.taskSlots),
        Math.min(smallTaskSlots, other.smallTaskSlots));
  }

  /** Returns the same amounts without task slots; small task slots are kept. */
  public Resources withoutTaskSlots() {
    return new Resources(cores, gpus, memoryGb, 0, smallTaskSlots);
  }

  /** Returns only the task slots. */
  public Resources onlyTaskSlots() {
    return new Resources(0, 0, 0, taskSlots, 0);
  }

  /**
   * Returns how many times the need fits into this. A resource of which nothing is needed is
   * ignored.
   */
  public int timesFits(Resources need) {
    double times = UNLIMITED;
    times = need.cores > 0 ? Math.min(times, (cores + TOLERANCE) / need.cores) : times;
    times = need.gpus > 0 ? Math.min(times, (gpus + TOLERANCE) / need.gpus) : times;
    times = need.memoryGb > 0 ? Math.min(times, (memoryGb + TOLERANCE) / need.memoryGb) : times;
    times = need.taskSlots > 0 ? Math.min(times, (double) taskSlots / need.taskSlots) : times;
    times =
        need.smallTaskSlots > 0
            ? Math.min(times, (double) smallTaskSlots / need.smallTaskSlots)
            : times;
    return (int) times;
  }

  /** Whether the need fits into this. */
  public boolean fits(Resources need) {
    return cores + TOLERANCE >= need.cores
        && gpus + TOLERANCE >= need.gpus
        && memoryGb + TOLERANCE >= need.memoryGb
        && taskSlots >= need.taskSlots
        && (need.smallTaskSlots == 0 || smallTaskSlots >= need.smallTaskSlots);
  }
}
