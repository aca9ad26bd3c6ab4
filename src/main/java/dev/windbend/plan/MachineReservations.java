package dev.windbend.plan;

import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.ArrayList;
import java.util.List;

/**
 * What is free of a machine over time, less what the cycle has reserved. The machine is one of the
 * snapshot, or one that the cycle requests of the cloud.
 */
final class MachineReservations {
  private static final int NOT_IN_SNAPSHOT = -1;
  private static final double MS_PER_SECOND = 1_000;

  /** A change of what is free. */
  private record CapacityChange(long atMs, Resources resources) {}

  private final long nowMs;
  private final int index;
  private final MachineAttributes attributes;

  /** Null: a machine that the cycle requests. */
  private final MachineCapacity capacity;

  /** In order of time. */
  private final List<CapacityChange> changes = new ArrayList<>();

  /** Null: no task of the machine is preempted. */
  private IntOpenHashSet preempted;

  private Resources freeNow;
  private boolean reserved;

  /** Something is reserved for later, so what is free now may not stay so. */
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

  /** The machine's place in the snapshot; only those of the snapshot have one. */
  int index() {
    return index;
  }

  boolean inSnapshot() {
    return capacity != null;
  }

  /** Whether tasks can be placed on it now. */
  boolean up() {
    return capacity != null && capacity.up();
  }

  /** The machine in the snapshot; null: the cycle requests it. */
  MachineCapacity capacity() {
    return capacity;
  }

  /** What is free at this moment. */
  Resources freeNow() {
    return freeNow;
  }

  /** Whether the cycle has reserved anything, for now or later. */
  boolean reserved() {
    return reserved;
  }

  /** How long the machine takes to fetch a job's image; 0: it has it. */
  long fetchMs(PendingJob.Requirements task) {
    return (capacity != null && capacity.images().contains(task.image()))
            || attributes.fetchGbPerSecond() <= 0
        ? 0
        : (long) (MS_PER_SECOND * task.imageGb() / attributes.fetchGbPerSecond());
  }

  /** How long a task takes on the machine, as estimated, with the fetch of its image. */
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

  /** Whether so much is free from now on for the given time. */
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

  /** What is free all through the given time from now on. */
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

  /** When so much gets free and stays so for the given time; {@code Long.MAX_VALUE}: never. */
  long firstFitMs(long runMs, Resources need) {
    Resources free = freeNow;
    int i = 0;
    while (i < changes.size()) {
      long atMs = changes.get(i).atMs();
      boolean freed = false;
      while (i < changes.size() && changes.get(i).atMs() == atMs) {
        Resources change = changes.get(i).resources();
        freed |= change.cores() > 0;
        free = free.plus(change);
        i++;
      }
      if (freed && free.fits(need) && (!reservedLater || staysFree(i, free, atMs + runMs, need))) {
        return atMs;
      }
    }
    return Long.MAX_VALUE;
  }

  /** From that time on so much is spoken for, for the given time. */
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

  boolean preempted(int task) {
    return preempted != null && preempted.contains(task);
  }

  /** The task makes way now, instead of at its end. */
  void preempt(int task) {
    RunningTask running = capacity.running().get(task);
    if (preempted == null) {
      preempted = new IntOpenHashSet();
    }
    preempted.add(task);
    changes.remove(new CapacityChange(endMs(running), running.resources()));
    freeNow = freeNow.plus(running.resources());
  }
}
