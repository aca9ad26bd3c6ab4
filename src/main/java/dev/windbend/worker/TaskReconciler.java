package dev.windbend.worker;

import dev.windbend.job.Job;
import dev.windbend.job.Placement;
import dev.windbend.machine.Machine;
import dev.windbend.worker.WorkerMessages.Heartbeat;
import dev.windbend.worker.WorkerMessages.Order;
import dev.windbend.worker.WorkerMessages.TaskState;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Learns from reports, and answers each with the difference between wanted and reported tasks. */
public final class TaskReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(TaskReconciler.class);
  private static final long FULL_MS = 3_000;
  private static final long UNKNOWN_MS = 3_000;

  private final TaskEvents events;

  /** Hears what became of tasks, and tells of the jobs that they belong to. */
  public interface TaskEvents {
    /** Null if it is not a live job of this shard. */
    Job findJob(String uid);

    /** Finally cancelled, as far as this node knows; whoever owns the shard now. */
    boolean isCancelled(String uid);

    /** The job differs from what is stored of it, and is to be written. */
    void jobChanged(Job job);

    /** The task has ended with success. */
    void taskCompleted(Placement placement, long nowMs);

    /** The task has ended with an error. */
    void taskFailed(Placement placement, Machine machine);

    /** The index of an image, by which machines remember what they hold. */
    int imageIndex(String name);
  }

  public TaskReconciler(TaskEvents events) {
    this.events = events;
  }

  /** Takes in a report that is newer than all before and came under our token. */
  public void absorb(Machine m, Heartbeat r, long nowMs) {
    Set<Placement> present = new HashSet<>();
    for (TaskState t : r.tasks()) {
      Placement p = m.tasks().get(t.task());
      if (p != null && p.attempt() == t.attempt()) {
        present.add(p);
        p.recordSeen();
        if (t.exited()) {
          exited(m, p, t, nowMs);
        } else if (t.running() && p.runningMs() < 0) {
          p.recordRunning(nowMs);
          m.recordImage(events.imageIndex(p.job().spec().image()));
        }
      } else if (t.exited() && "done".equals(t.cause())) {
        foundDone(t, nowMs);
      }
    }
    for (Placement p : List.copyOf(m.tasks().values())) {
      if (!present.contains(p) && provedGone(p, r)) {
        LOG.info("{} attempt {} is gone from {}", p.taskName(), p.attempt(), m.name());
        leave(m, p, nowMs);
      }
    }
  }

  /**
   * The report lacks the attempt. It is gone if it was there before, or if it came from a former
   * owner: no start of theirs can be executed any more, as the worker has seen our token. A start
   * of ours may only be written off when it is not wanted any more and the report was sent after
   * the answer that carried it was used or dropped.
   */
  private static boolean provedGone(Placement p, Heartbeat r) {
    return p.seen()
        || p.inherited()
        || (p.stopping()
            && (p.sentIncarnation() < r.shift()
                || (p.sentIncarnation() == r.shift() && p.sentSequence() < r.tally())));
  }

  /** A start went out in the answer to an earlier report, and this one does not show it. */
  boolean startMissing(Machine m, Heartbeat r) {
    for (Placement p : m.tasks().values()) {
      if (!p.seen()
          && !p.stopping()
          && p.sentIncarnation() == r.shift()
          && p.sentSequence() < r.tally()) {
        boolean shown = false;
        for (TaskState t : r.tasks()) {
          shown |= t.attempt() == p.attempt() && t.task().equals(p.taskName());
        }
        if (!shown) {
          return true;
        }
      }
    }
    return false;
  }

  private void leave(Machine m, Placement p, long nowMs) {
    m.remove(p, nowMs);
    p.job().gone(p);
    events.jobChanged(p.job());
  }

  private void exited(Machine m, Placement p, TaskState t, long nowMs) {
    String cause = t.cause() == null ? "" : t.cause();
    LOG.debug("{} attempt {} exited on {}: {}", p.taskName(), p.attempt(), m.name(), cause);
    switch (cause) {
      case "done" -> {
        p.job().complete(p.task(), nowMs);
        events.taskCompleted(p, nowMs);
        m.clearFailedJobs();
      }
      case "error" -> events.taskFailed(p, m);
      case "no_room", "in_use" -> m.refuseStartsUntil(nowMs + FULL_MS);
      case "unknown" -> p.job().deferUntil(nowMs + UNKNOWN_MS);
      default -> {
        // stopped as asked: it goes back to wait
      }
    }
    leave(m, p, nowMs);
  }

  /** A result nobody waited for, of an attempt that was given up: it counts all the same. */
  private void foundDone(TaskState t, long nowMs) {
    Job job = job(t.task());
    int task = index(t.task());
    if (job == null || task < 0 || task >= job.spec().tasks() || job.isDone(task)) {
      return;
    }
    job.complete(task, nowMs);
    Placement other = job.placement(task);
    if (other != null) {
      other.stop(0);
    }
    events.jobChanged(job);
  }

  /** The orders that make the reported tasks the wanted ones. Starts only if they may go out. */
  public List<Order> orders(Machine m, Heartbeat r, boolean mayStart) {
    List<Order> stops = new ArrayList<>();
    List<Order> rest = new ArrayList<>();
    Set<String> reported = new HashSet<>();
    for (TaskState t : r.tasks()) {
      Placement p = m.tasks().get(t.task());
      boolean wanted = p != null && p.attempt() == t.attempt();
      if (wanted) {
        reported.add(t.task());
      }
      if (t.exited()) {
        if (mayForget(t)) {
          rest.add(Order.forget(t.task(), t.attempt()));
        }
      } else if (!wanted) {
        stops.add(Order.stop(t.task(), t.attempt(), 0));
      } else if (p.stopping() && (!t.flushing() || p.stopGraceS() == 0)) {
        stops.add(Order.stop(t.task(), t.attempt(), p.stopGraceS()));
      }
    }
    if (mayStart) {
      for (Placement p : m.tasks().values()) {
        if (!reported.contains(p.taskName()) && !p.seen() && p.job().startable(p)) {
          p.recordStartSent(r.shift(), r.tally());
          rest.add(Order.start(p.taskName(), p.attempt()));
        }
      }
    }
    stops.addAll(rest);
    return stops;
  }

  /**
   * Stops for all reported tasks of cancelled jobs. They need no lease: they are right whoever owns
   * the shard, and without them an owner that is unsure through an outage would keep such a task
   * alive, by renewing its machine's lease, for longer than {@code cancel_s}.
   */
  public List<Order> cancelledStops(Heartbeat r) {
    List<Order> stops = new ArrayList<>();
    for (TaskState t : r.tasks()) {
      int slash = t.task().lastIndexOf('/');
      if (!t.exited() && slash > 0 && events.isCancelled(t.task().substring(0, slash))) {
        stops.add(Order.stop(t.task(), t.attempt(), 0));
      }
    }
    return stops;
  }

  /** A completed task's exit is kept on the machine until the record says it is done. */
  private boolean mayForget(TaskState t) {
    if (!"done".equals(t.cause())) {
      return true;
    }
    Job job = job(t.task());
    int task = index(t.task());
    return job == null || task < 0 || task >= job.spec().tasks() || job.doneRecorded(task);
  }

  private Job job(String taskName) {
    int slash = taskName.lastIndexOf('/');
    return slash < 0 ? null : events.findJob(taskName.substring(0, slash));
  }

  private static int index(String taskName) {
    try {
      return Integer.parseInt(taskName.substring(taskName.lastIndexOf('/') + 1));
    } catch (NumberFormatException e) {
      return -1;
    }
  }
}
