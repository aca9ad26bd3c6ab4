package dev.windbend.worker;

import dev.windbend.job.Job;
import dev.windbend.job.Placement;
import dev.windbend.machine.Machine;
import dev.windbend.worker.WorkerMessages.Command;
import dev.windbend.worker.WorkerMessages.Heartbeat;
import dev.windbend.worker.WorkerMessages.TaskState;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles the tasks that a heartbeat lists with those placed on the machine: takes in what
 * became of them, and makes the orders that turn the listed tasks into the wanted ones.
 */
public final class TaskReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(TaskReconciler.class);

  /** How long a machine gets no starts after it refused one because it is in use. */
  private static final long START_REFUSED_BACKOFF_MS = 3_000;

  /** How long a job is deferred after a worker refused its start as unknown. */
  private static final long JOB_UNKNOWN_BACKOFF_MS = 3_000;

  private final TaskEvents events;

  /** Hears what became of tasks, and tells of the jobs that they belong to. */
  public interface TaskEvents {
    /** Null if it is not a live job of this shard. */
    Job findJob(String uid);

    /** Finally cancelled, as far as this controller knows; whoever leads the shard now. */
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

  /** A reconciler that tells this listener what became of tasks. */
  public TaskReconciler(TaskEvents events) {
    this.events = events;
  }

  /**
   * Takes in a heartbeat that is newer than all before and came under our token.
   *
   * @param nowMs steady clock
   */
  public void reconcile(Machine machine, Heartbeat heartbeat, long nowMs) {
    Set<Placement> reportedPlacements = new HashSet<>();
    for (TaskState reported : heartbeat.tasks()) {
      Placement placement = machine.tasks().get(reported.task());
      if (placement != null && placement.attempt() == reported.attempt()) {
        reportedPlacements.add(placement);
        recordReportedState(machine, placement, reported, nowMs);
      } else if (reported.exited() && reported.exitCause() == ExitCause.COMPLETED) {
        completeAbandonedAttempt(reported, nowMs);
      }
    }
    for (Placement placement : List.copyOf(machine.tasks().values())) {
      if (!reportedPlacements.contains(placement) && isConfirmedTerminated(placement, heartbeat)) {
        LOG.info(
            "task missing from heartbeat: machine={} task={} attempt={}",
            machine.name(),
            placement.taskName(),
            placement.attempt());
        remove(machine, placement, nowMs);
      }
    }
  }

  private void recordReportedState(
      Machine machine, Placement placement, TaskState reported, long nowMs) {
    placement.recordReported();
    if (reported.exited()) {
      recordExit(machine, placement, reported, nowMs);
    } else if (reported.running() && placement.runningSinceMs() < 0) {
      placement.recordRunning(nowMs);
      machine.recordImage(events.imageIndex(placement.job().spec().image()));
    }
  }

  private void recordExit(Machine machine, Placement placement, TaskState reported, long nowMs) {
    LOG.debug(
        "task exited: machine={} task={} attempt={} cause={}",
        machine.name(),
        placement.taskName(),
        placement.attempt(),
        reported.cause());
    switch (reported.exitCause()) {
      case COMPLETED -> {
        placement.job().complete(placement.task(), nowMs);
        events.taskCompleted(placement, nowMs);
        machine.clearFailedJobs();
      }
      case FAILED -> events.taskFailed(placement, machine);
      case INSUFFICIENT_RESOURCES, OTHER_ATTEMPT_PRESENT ->
          machine.refuseStartsUntil(nowMs + START_REFUSED_BACKOFF_MS);
      case UNKNOWN_JOB -> placement.job().deferUntil(nowMs + JOB_UNKNOWN_BACKOFF_MS);
      case STOPPED -> {
        // The task is pending again.
      }
    }
    remove(machine, placement, nowMs);
  }

  private void remove(Machine machine, Placement placement, long nowMs) {
    machine.remove(placement, nowMs);
    placement.job().confirmTerminated(placement);
    events.jobChanged(placement.job());
  }

  /**
   * An attempt that had been given up has completed: that counts all the same, and another attempt
   * is needed no more.
   */
  private void completeAbandonedAttempt(TaskState reported, long nowMs) {
    Job job = findJob(reported.task());
    int task = taskIndex(reported.task());
    if (job == null || !hasTask(job, task) || job.isCompleted(task)) {
      return;
    }
    job.complete(task, nowMs);
    Placement otherAttempt = job.placement(task);
    if (otherAttempt != null) {
      otherAttempt.requestStop(0);
    }
    events.jobChanged(job);
  }

  /**
   * The heartbeat lacks the attempt. It is gone if it was there before, or if it came from a former
   * leader: no start of theirs can be executed any more, as the worker has seen our token. A start
   * of ours may only be written off when it is not wanted any more and the heartbeat was sent after
   * the response that carried it was used or discarded.
   */
  private static boolean isConfirmedTerminated(Placement placement, Heartbeat heartbeat) {
    return placement.reported()
        || placement.inherited()
        || (placement.stopRequested() && startSentBefore(placement, heartbeat));
  }

  /** The start answered an earlier heartbeat of this or an earlier incarnation. */
  private static boolean startSentBefore(Placement placement, Heartbeat heartbeat) {
    return placement.startSentIncarnation() < heartbeat.incarnation()
        || startSentBeforeInIncarnation(placement, heartbeat);
  }

  private static boolean startSentBeforeInIncarnation(Placement placement, Heartbeat heartbeat) {
    return placement.startSentIncarnation() == heartbeat.incarnation()
        && placement.startSentSequence() < heartbeat.sequence();
  }

  /** A start went out in the response to an earlier heartbeat, and this one does not list it. */
  boolean hasMissingStart(Machine machine, Heartbeat heartbeat) {
    for (Placement placement : machine.tasks().values()) {
      if (!placement.reported()
          && !placement.stopRequested()
          && startSentBeforeInIncarnation(placement, heartbeat)
          && !heartbeat.lists(placement.taskName(), placement.attempt())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Orders that take away what is not wanted: stops first, then acknowledgements of exits, each in
   * the order in which the heartbeat lists the tasks.
   */
  List<Command> commandsWithoutStarts(Machine machine, Heartbeat heartbeat) {
    List<Command> commands = new ArrayList<>();
    List<Command> acknowledgements = new ArrayList<>();
    for (TaskState reported : heartbeat.tasks()) {
      if (reported.exited()) {
        if (mayAcknowledge(reported)) {
          acknowledgements.add(Command.acknowledgeExit(reported.task(), reported.attempt()));
        }
      } else {
        addStop(machine, reported, commands);
      }
    }
    commands.addAll(acknowledgements);
    return commands;
  }

  private static void addStop(Machine machine, TaskState reported, List<Command> commands) {
    Placement placement = machine.tasks().get(reported.task());
    if (placement == null || placement.attempt() != reported.attempt()) {
      commands.add(Command.stop(reported.task(), reported.attempt(), 0));
    } else if (placement.stopRequested()
        && (!reported.savingCheckpoint() || placement.stopGraceS() == 0)) {
      commands.add(Command.stop(reported.task(), reported.attempt(), placement.stopGraceS()));
    }
  }

  /**
   * Orders that make the listed tasks the wanted ones. The starts come last, and are recorded as
   * sent in the response to this heartbeat.
   */
  List<Command> commandsWithStarts(Machine machine, Heartbeat heartbeat) {
    List<Command> commands = commandsWithoutStarts(machine, heartbeat);
    for (Placement placement : machine.tasks().values()) {
      if (!placement.reported() && placement.job().mayStart(placement)) {
        String taskName = placement.taskName();
        if (!heartbeat.lists(taskName, placement.attempt())) {
          placement.recordStartSent(heartbeat.incarnation(), heartbeat.sequence());
          commands.add(Command.start(taskName, placement.attempt()));
        }
      }
    }
    return commands;
  }

  /**
   * Stops for all listed tasks of cancelled jobs. They need no lease: they are right whoever leads
   * the shard, and without them a leader that is unsure through an outage would keep such a task
   * alive, by renewing its machine's lease, for longer than {@code cancel_s}.
   */
  List<Command> stopsForCancelledTasks(Heartbeat heartbeat) {
    List<Command> stops = new ArrayList<>();
    for (TaskState reported : heartbeat.tasks()) {
      int slash = reported.task().lastIndexOf('/');
      if (!reported.exited()
          && slash > 0
          && events.isCancelled(reported.task().substring(0, slash))) {
        stops.add(Command.stop(reported.task(), reported.attempt(), 0));
      }
    }
    return stops;
  }

  /** The worker keeps a completed task's exit until the record says that it is completed. */
  private boolean mayAcknowledge(TaskState reported) {
    if (reported.exitCause() != ExitCause.COMPLETED) {
      return true;
    }
    Job job = findJob(reported.task());
    int task = taskIndex(reported.task());
    return job == null || !hasTask(job, task) || job.completionRecorded(task);
  }

  private static boolean hasTask(Job job, int task) {
    return task >= 0 && task < job.spec().tasks();
  }

  private Job findJob(String taskName) {
    int slash = taskName.lastIndexOf('/');
    return slash < 0 ? null : events.findJob(taskName.substring(0, slash));
  }

  /** Index of the task in its job; -1: the name has none. */
  private static int taskIndex(String taskName) {
    try {
      return Integer.parseInt(taskName.substring(taskName.lastIndexOf('/') + 1));
    } catch (NumberFormatException e) {
      return -1;
    }
  }
}
