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
 * Reconciles the tasks that a heartbeat reports with the tasks placed on the machine: records their
 * state changes, and builds the commands that bring the machine to the desired state.
 */
public final class TaskReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(TaskReconciler.class);

  /**
   * How long a machine gets no starts after it rejected one for lack of resources or because of
   * another attempt.
   */
  private static final long START_REFUSED_BACKOFF_MS = 3_000;

  /** How long a job is deferred after a worker rejected its start as unknown. */
  private static final long JOB_UNKNOWN_BACKOFF_MS = 3_000;

  private final TaskEvents events;

  /** Receives the results of tasks, and looks up the jobs that they belong to. */
  public interface TaskEvents {
    /** Returns the job; null if it is not a live job of this shard. */
    Job findJob(String uid);

    /**
     * Whether this controller knows the job to be irrevocably cancelled, regardless of which
     * controller leads its shard.
     */
    boolean isCancelled(String uid);

    /** The job differs from its stored record and must be written. */
    void jobChanged(Job job);

    /**
     * The task succeeded.
     *
     * @param nowMs monotonic clock
     */
    void taskCompleted(Placement placement, long nowMs);

    /** The task failed with an error on this machine. */
    void taskFailed(Placement placement, Machine machine);

    /** Returns the dense index of an image, under which a machine records it. */
    int imageIndex(String name);
  }

  /** Creates a reconciler that reports to this listener. */
  public TaskReconciler(TaskEvents events) {
    this.events = events;
  }

  /**
   * Updates placements from a heartbeat that is newer than all earlier ones and carries the current
   * token.
   *
   * @param nowMs monotonic clock
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
        removePlacement(machine, placement, nowMs);
      }
    }
    machine.setUnplacedTasks(countUnplacedTasks(machine, heartbeat));
  }

  /** Counts the reported tasks that are not placed on the machine; most of them have exited. */
  private static int countUnplacedTasks(Machine machine, Heartbeat heartbeat) {
    int count = 0;
    for (TaskState reported : heartbeat.tasks()) {
      Placement placement = machine.tasks().get(reported.task());
      count += placement == null || placement.attempt() != reported.attempt() ? 1 : 0;
    }
    return count;
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
      case UNKNOWN_JOB -> placement.job().backoff().deferUntil(nowMs + JOB_UNKNOWN_BACKOFF_MS);
      case STOPPED -> {
        // Removing the placement makes the task pending again.
      }
    }
    removePlacement(machine, placement, nowMs);
  }

  private void removePlacement(Machine machine, Placement placement, long nowMs) {
    machine.remove(placement, nowMs);
    placement.job().confirmTerminated(placement);
    events.jobChanged(placement.job());
  }

  /**
   * Records the completion of an attempt that was previously abandoned. The task counts as
   * completed, and another attempt of it is stopped.
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
   * Whether an attempt that is missing from the heartbeat is confirmed terminated. That holds if an
   * earlier heartbeat reported the attempt, or if a previous leader placed it: the worker has seen
   * the current token and no longer executes starts under an older one. A start sent under the
   * current token is confirmed terminated only if the attempt is being stopped and the heartbeat
   * was sent after the response with the start was processed or discarded.
   */
  private static boolean isConfirmedTerminated(Placement placement, Heartbeat heartbeat) {
    return placement.reported()
        || placement.inherited()
        || (placement.stopRequested() && startSentBefore(placement, heartbeat));
  }

  /**
   * Whether the start was sent in response to an earlier heartbeat of this or an earlier
   * incarnation.
   */
  private static boolean startSentBefore(Placement placement, Heartbeat heartbeat) {
    return placement.startSentIncarnation() < heartbeat.incarnation()
        || startSentBeforeInIncarnation(placement, heartbeat);
  }

  private static boolean startSentBeforeInIncarnation(Placement placement, Heartbeat heartbeat) {
    return placement.startSentIncarnation() == heartbeat.incarnation()
        && placement.startSentSequence() < heartbeat.sequence();
  }

  /**
   * Whether the heartbeat lacks a task whose start was sent in response to an earlier heartbeat of
   * the same incarnation.
   */
  boolean hasMissingStart(Machine machine, Heartbeat heartbeat) {
    for (Placement placement : machine.tasks().values()) {
      if (!placement.reported()
          && !placement.stopRequested()
          && startSentBeforeInIncarnation(placement, heartbeat)
          && !heartbeat.reports(placement.taskName(), placement.attempt())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Builds the stops and acknowledgements for the reported tasks. Stops come first, then
   * acknowledgements of exits, each in the order of the heartbeat's task list.
   */
  List<Command> commandsWithoutStarts(Machine machine, Heartbeat heartbeat) {
    List<Command> stops = new ArrayList<>();
    List<Command> acknowledgements = new ArrayList<>();
    for (TaskState reported : heartbeat.tasks()) {
      if (reported.exited()) {
        if (mayAcknowledge(reported)) {
          acknowledgements.add(Command.acknowledgeExit(reported.task(), reported.attempt()));
        }
      } else {
        addStop(machine, reported, stops);
      }
    }
    List<Command> commands = new ArrayList<>(StopLimit.limit(stops, heartbeat));
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
   * Adds the starts of placed tasks that the heartbeat does not list. Each start that fits into the
   * batch is recorded as sent in the response to this heartbeat; the others remain pending.
   */
  void addStarts(Machine machine, Heartbeat heartbeat, CommandBatch batch) {
    for (Placement placement : machine.tasks().values()) {
      if (!placement.reported() && placement.job().mayStart(placement)) {
        String taskName = placement.taskName();
        if (!heartbeat.reports(taskName, placement.attempt())
            && batch.add(Command.start(taskName, placement.attempt()))) {
          placement.recordStartSent(heartbeat.incarnation(), heartbeat.sequence());
        }
      }
    }
  }

  /**
   * Builds stops for all reported tasks of cancelled jobs. These stops require no valid leader
   * lease, because they are correct whichever controller leads the shard. Without them, a leader
   * that cannot confirm its lease during an outage would renew the machine's lease and let such a
   * task run for longer than {@code cancel_s}.
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
    return StopLimit.limit(stops, heartbeat);
  }

  /**
   * Whether the exit may be acknowledged. The worker must report the exit of a completed task until
   * the stored record contains the completion.
   */
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

  /** Index of the task in its job; -1 if the name contains none. */
  private static int taskIndex(String taskName) {
    try {
      return Integer.parseInt(taskName.substring(taskName.lastIndexOf('/') + 1));
    } catch (NumberFormatException e) {
      return -1;
    }
  }
}
