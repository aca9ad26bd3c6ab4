package dev.windbend.plan;

import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.ArrayList;
import java.util.List;

/**
 * Free resources of a machine over time, minus the reservations of the cycle. The machine is one of
 * the snapshot, or one that the cycle requests from the cloud.
 */
final class MachineReservations {
  private static final int NOT_IN_SNAPSHOT = -1;
  private static final double MS_PER_SECOND = 1_000;

  /** A change of the free resources; negative amounts are reserved from that time on. */
  private record CapacityChange(long atMs, Resources resources) {}

  private final long nowMs;
  private final int index;
  private final MachineAttributes attributes;

  /** Null for a machine that the cycle requests. */
  private final MachineCapacity capacity;

  /** In ascending order of time. */
  private final List<CapacityChange> changes = new ArrayList<>();

  /** Indices of preempted tasks; null if there are none. */
  private IntOpenHashSet preempted;

  private Resources freeNow;
  private boolean reserved;

  /**
   * Whether the cycle has made a reservation for a later time, so that capacity that is free now
   * may not stay free.
   */
  private boolean reservedLater;

  MachineReservations(MachineCapacity capacity, int index, long nowMs) {
    this.capacity = capacity;
    this.index = index;
    this.attributes = capacity.attributes();
    this.nowMs = nowMs;
    if (capacity.up()) {
      this.freeNow = capacity.free();
      for (RunningTask task : capacity.running()) {
        addChange(endMs(task), task.resources());
      }
    } else {
      this.freeNow = Resources.NONE;
      addChange(Math.max(capacity.readyMs(), nowMs + 1), capacity.free());
    }
  }

  MachineReservations(InstanceOffer offer, long nowMs) {
    this.capacity = null;
    this.index = NOT_IN_SNAPSHOT;
    this.attributes = offer.attributes();
    this.nowMs = nowMs;
    this.freeNow = Resources.NONE;
    addChange(nowMs + offer.bootMs(), offer.capacity());
  }

  MachineAttributes attributes() {
    return attributes;
  }

  /** Returns the index of the machine in the snapshot; -1 for a machine that the cycle requests. */
  int index() {
    return index;
  }

  boolean inSnapshot() {
    return capacity != null;
  }

  /** Whether tasks can be placed on the machine now. */
  boolean up() {
    return capacity != null && capacity.up();
  }

  /** Returns the machine of the snapshot; null for a machine that the cycle requests. */
  MachineCapacity capacity() {
    return capacity;
  }

  /** Returns the resources that are free at the time of the cycle. */
  Resources freeNow() {
    return freeNow;
  }

  /** Whether the cycle has reserved capacity on the machine, for now or for later. */
  boolean reserved() {
    return reserved;
  }

  /**
   * Returns the time in milliseconds to fetch the task's image; 0 if the image is available
   * immediately.
   */
  long fetchMs(PendingJob.Requirements task) {
    return (capacity != null && capacity.images().contains(task.image()))
            || attributes.fetchGbPerSecond() <= 0
        ? 0
        : (long) (MS_PER_SECOND * task.imageGb() / attributes.fetchGbPerSecond());
  }

  /**
   * Returns the estimated run time on the machine in milliseconds, including the fetch of the
   * image.
   */
  long runMs(PendingJob.Requirements task) {
    return task.estimatedRunTimeMs() + fetchMs(task);
  }

  private long endMs(RunningTask task) {
    return Math.max(task.endMs(), nowMs + 1);
  }

  private void addChange(long atMs, Resources resources) {
    int position = changes.size();
    while (position > 0 && changes.get(position - 1).atMs() > atMs) {
      position--;
    }
    changes.add(position, new CapacityChange(atMs, resources));
  }

  /** Whether the resources are free from now on for the given duration. */
  boolean fitsNow(long runMs, Resources need) {
    return freeNow.fits(need) && (!reservedLater || staysFree(0, freeNow, nowMs + runMs, need));
  }

  private boolean staysFree(int from, Resources freeAtFrom, long untilMs, Resources need) {
    Resources free = freeAtFrom;
    for (int i = from; i < changes.size() && changes.get(i).atMs() < untilMs; i++) {
      free = free.plus(changes.get(i).resources());
      if (isLastAtItsTime(i) && !free.fits(need)) {
        return false;
      }
    }
    return true;
  }

  private boolean isLastAtItsTime(int change) {
    return change + 1 == changes.size()
        || changes.get(change + 1).atMs() > changes.get(change).atMs();
  }

  /** Returns the resources that are free throughout the given duration from now on. */
  Resources minFree(long runMs) {
    Resources free = freeNow;
    Resources least = freeNow;
    for (int i = 0;
        reservedLater && i < changes.size() && changes.get(i).atMs() < nowMs + runMs;
        i++) {
      free = free.plus(changes.get(i).resources());
      if (isLastAtItsTime(i)) {
        least = least.min(free);
      }
    }
    return least;
  }

  /**
   * Returns the earliest time from which the resources stay free for the given duration, out of the
   * times at which resources are freed; {@code Long.MAX_VALUE} if there is none. The current time
   * is not considered.
   */
  long firstFitMs(long runMs, Resources need) {
    Resources free = freeNow;
    int next = 0;
    while (next < changes.size()) {
      long atMs = changes.get(next).atMs();
      boolean freed = false;
      while (next < changes.size() && changes.get(next).atMs() == atMs) {
        Resources change = changes.get(next).resources();
        freed |= change.cores() > 0;
        free = free.plus(change);
        next++;
      }
      if (freed
          && free.fits(need)
          && (!reservedLater || staysFree(next, free, atMs + runMs, need))) {
        return atMs;
      }
    }
    return Long.MAX_VALUE;
  }

  /** Reserves the resources from the given time on for the given duration, in milliseconds. */
  void reserve(long atMs, long runMs, Resources need) {
    reserved = true;
    if (atMs <= nowMs) {
      freeNow = freeNow.minus(need);
    } else {
      reservedLater = true;
      addChange(atMs, Resources.NONE.minus(need));
    }
    addChange(atMs + Math.max(1, runMs), need);
  }

  /** Whether the cycle preempts the task with this index. */
  boolean preempted(int task) {
    return preempted != null && preempted.contains(task);
  }

  /**
   * Frees the resources of a running task now instead of at its end. Its task slot stays occupied:
   * the worker lists the exited task until the exit is acknowledged.
   */
  void preempt(int task) {
    RunningTask running = capacity.running().get(task);
    if (preempted == null) {
      preempted = new IntOpenHashSet();
    }
    preempted.add(task);
    changes.remove(new CapacityChange(endMs(running), running.resources()));
    addChange(endMs(running), running.resources().onlyTaskSlots());
    freeNow = freeNow.plus(running.resources().withoutTaskSlots());
  }
}
