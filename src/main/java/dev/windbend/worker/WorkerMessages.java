package dev.windbend.worker;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** The workers' wire format. */
public final class WorkerMessages {
  private WorkerMessages() {}

  /**
   * A worker's heartbeat, with the status of its tasks.
   *
   * @param machine name that the cloud gave the machine
   * @param address where the worker takes direct commands; null: nowhere
   * @param machineType name of the machine type
   * @param zone name of the zone
   * @param spot whether the machine is a spot instance
   * @param incarnation incarnation of the worker, from 1: grows with each of its sessions
   * @param sequence sequence number of the heartbeat within the incarnation
   * @param token highest fencing token that the worker has seen
   * @param recallS seconds until the cloud takes the machine away; null: no notice
   * @param tasks the tasks on the machine, with those that have exited and are not acknowledged
   */
  public record Heartbeat(
      @JsonProperty("truck") String machine,
      @JsonProperty("addr") String address,
      @JsonProperty("rig") String machineType,
      @JsonProperty("yard") String zone,
      @JsonProperty("standby") boolean spot,
      @JsonProperty("shift") long incarnation,
      @JsonProperty("tally") long sequence,
      @JsonProperty("baton") long token,
      @JsonProperty("recall_s") Double recallS,
      @JsonProperty("drops") List<TaskState> tasks) {
    /** Whether all that a heartbeat must have is there. */
    public boolean valid() {
      return machine != null
          && machineType != null
          && zone != null
          && incarnation >= 1
          && sequence >= 0
          && token >= 0
          && tasks != null
          && tasks.stream().allMatch(t -> t != null && t.task() != null && t.state() != null);
    }

    /** Whether it lists this attempt of a task. */
    boolean lists(String taskName, long attempt) {
      for (TaskState reported : tasks) {
        if (reported.attempt() == attempt && reported.task().equals(taskName)) {
          return true;
        }
      }
      return false;
    }
  }

  /**
   * How a task stands on a machine.
   *
   * @param task name: uid of the job, a slash, index of the task in the job
   * @param attempt number of the attempt
   * @param state where in its life the task is
   * @param cause why it has exited; null: it has not
   * @param checkpointSaved whether it saved a checkpoint before it exited; null: not known
   */
  public record TaskState(
      @JsonProperty("drop") String task,
      @JsonProperty("run") long attempt,
      @JsonProperty("status") String state,
      @JsonProperty("cause") String cause,
      @JsonProperty("saved") Boolean checkpointSaved) {
    boolean exited() {
      return "exited".equals(state);
    }

    boolean running() {
      return "running".equals(state);
    }

    boolean savingCheckpoint() {
      return "flushing".equals(state);
    }

    ExitCause exitCause() {
      return switch (cause == null ? "" : cause) {
        case "done" -> ExitCause.COMPLETED;
        case "error" -> ExitCause.FAILED;
        case "no_room" -> ExitCause.INSUFFICIENT_RESOURCES;
        case "in_use" -> ExitCause.OTHER_ATTEMPT_PRESENT;
        case "unknown" -> ExitCause.UNKNOWN_JOB;
        default -> ExitCause.STOPPED;
      };
    }
  }

  /**
   * Response to a heartbeat; it renews the worker's lease.
   *
   * @param token fencing token: the worker obeys no lower one any more
   * @param commands carried out in this order
   */
  public record HeartbeatResponse(
      @JsonProperty("baton") long token, @JsonProperty("orders") List<Command> commands) {}

  /**
   * Sent straight to a worker; it renews no lease.
   *
   * @param token fencing token: the worker obeys no lower one
   * @param incarnation incarnation of the worker that it is meant for
   * @param commands carried out in this order
   */
  record DirectCommands(
      @JsonProperty("baton") long token,
      @JsonProperty("shift") long incarnation,
      @JsonProperty("orders") List<Command> commands) {}

  /**
   * What a worker is to do with one attempt of a task.
   *
   * @param action start, stop, or acknowledgement of an exit
   * @param task name of the task
   * @param attempt number of the attempt
   * @param graceS seconds that a task that is stopped may use to save a checkpoint; null: no stop
   */
  public record Command(
      @JsonProperty("order") String action,
      @JsonProperty("drop") String task,
      @JsonProperty("run") long attempt,
      @JsonProperty("wind_down_s") Double graceS) {
    static Command start(String task, long attempt) {
      return new Command("start", task, attempt, null);
    }

    static Command stop(String task, long attempt, double graceS) {
      return new Command("kill", task, attempt, graceS);
    }

    /** The worker need not report the exited task any more. */
    static Command acknowledgeExit(String task, long attempt) {
      return new Command("reap", task, attempt, null);
    }
  }

  /**
   * Response to a heartbeat that belongs to another controller.
   *
   * @param leader name of that controller; null: not known
   */
  public record LeaderRedirect(@JsonProperty("dispatcher") String leader) {}
}
