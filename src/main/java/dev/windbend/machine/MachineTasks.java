package dev.windbend.machine;

import dev.windbend.job.Placement;
import java.util.LinkedHashMap;
import java.util.Map;

/** The tasks that are placed on a machine, and the capacity that they leave free. */
final class MachineTasks {
  private static final double ROUNDING_TOLERANCE = 1e-6;

  private final MachineType type;
  private final Map<String, Placement> byName = new LinkedHashMap<>();
  private final FreeCapacityWindow freeCapacity;
  private int unplacedTasks;
  private boolean everUsed;
  private long idleSinceMs;

  /**
   * Creates an empty set of tasks.
   *
   * @param nowMs monotonic clock
   */
  MachineTasks(MachineType type, long nowMs) {
    this.type = type;
    this.idleSinceMs = nowMs;
    this.freeCapacity = new FreeCapacityWindow(type.cores());
  }

  /** The tasks by name, in the order they were placed. */
  Map<String, Placement> byName() {
    return byName;
  }

  /** Whether a task has ever been placed. */
  boolean everUsed() {
    return everUsed;
  }

  /** Since when there have been no tasks (monotonic clock, ms); -1: there are tasks. */
  long idleSinceMs() {
    return idleSinceMs;
  }

  /** Cores that are not requested by any task. */
  double freeCores() {
    double free = type.cores();
    for (Placement placement : byName.values()) {
      free -= placement.job().spec().cores();
    }
    return free;
  }

  /** Whether these resources are free for one more task. */
  boolean hasCapacityFor(double cores, double gpus, double memoryGb) {
    double freeCores = type.cores() + ROUNDING_TOLERANCE;
    double freeGpus = type.gpus() + ROUNDING_TOLERANCE;
    double freeMemoryGb = type.memoryGb() + ROUNDING_TOLERANCE;
    for (Placement placement : byName.values()) {
      freeCores -= placement.job().spec().cores();
      freeGpus -= placement.job().spec().gpus();
      freeMemoryGb -= placement.job().spec().memoryGb();
    }
    return freeTaskSlots() > 0
        && (!HeartbeatTaskLimit.isSmall(cores, gpus) || freeSmallTaskSlots() > 0)
        && freeCores >= cores
        && freeGpus >= gpus
        && freeMemoryGb >= memoryGb;
  }

  /**
   * How many more tasks the worker's heartbeat can list. Negative if a controller without this
   * limit has placed more tasks.
   */
  int freeTaskSlots() {
    return HeartbeatTaskLimit.MAX_TASKS - byName.size() - unplacedTasks;
  }

  /** How many more small tasks may be placed; negative like {@link #freeTaskSlots}. */
  int freeSmallTaskSlots() {
    int smallTasks = 0;
    for (Placement placement : byName.values()) {
      smallTasks += HeartbeatTaskLimit.isSmall(placement.job().spec()) ? 1 : 0;
    }
    return HeartbeatTaskLimit.MAX_SMALL_TASKS - smallTasks;
  }

  /** Sets how many tasks the worker's newest heartbeat lists that are not placed on the machine. */
  void setUnplacedTasks(int count) {
    unplacedTasks = count;
  }

  /** Starts a new time window for the minimum of free cores. */
  void beginFreeCapacityWindow() {
    freeCapacity.beginWindow(freeCores());
  }

  /** Cores that have been free throughout the current and the previous time window. */
  double sustainedFreeCores() {
    return freeCapacity.sustainedFreeCores();
  }

  /** Adds a task that has been placed on the machine. */
  void add(Placement placement) {
    everUsed = true;
    byName.put(placement.taskName(), placement);
    freeCapacity.record(freeCores());
    idleSinceMs = -1;
  }

  /** Removes a task. The worker may list it until its next heartbeat shows that it does not. */
  void remove(Placement placement, long nowMs) {
    if (byName.remove(placement.taskName(), placement)) {
      unplacedTasks++;
    }
    if (byName.isEmpty() && idleSinceMs < 0) {
      idleSinceMs = nowMs;
    }
  }
}
