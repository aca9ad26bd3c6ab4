package dev.windbend.worker;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** Messages exchanged with workers. The JSON field names are the wire format. */
public final class WorkerMessages {
  private WorkerMessages() {}

  /**
   * A worker's heartbeat, with the state of its tasks.
   *
   * @param machine name that the cloud gave the machine
   * @param address address at which the worker accepts direct commands; null if it accepts none
   * @param machineType name of the machine type
   * @param zone name of the zone
   * @param spot whether the machine is a spot instance
   * @param incarnation incarnation of the worker, from 1; increases with each of its sessions
   * @param sequence sequence number of the heartbeat within the incarnation
   * @param token highest fencing token that the worker has seen
   * @param recallS seconds until the cloud reclaims the machine; null if no recall is announced
   * @param tasks tasks on the machine, including exited tasks whose exit is not yet acknowledged
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
    /** Whether all required fields are present and within their bounds. */
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

    /** Whether the heartbeat reports this attempt of a task. */
    boolean reports(String taskName, long attempt) {
      for (TaskState reported : tasks) {
        if (reported.attempt() == attempt && reported.task().equals(taskName)) {
          return true;
        }
      }
      return false;
    }
  }

  /**
   * State of a task on a machine.
   *
   * @param task name of the task: uid of the job, a slash, and the index of the task in the job
   * @param attempt number of the attempt
   * @param state lifecycle state, for instance {@code running} or {@code exited}
   * @param cause reason for the exit; null if the task has not exited
   * @param checkpointSaved whether the task saved a checkpoint before it exited; null if unknown
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
   * Response to a heartbeat. It renews the worker's lease.
   *
   * @param token fencing token; the worker rejects lower tokens from then on
   * @param commands commands, executed in list order
   */
  public record HeartbeatResponse(
      @JsonProperty("baton") long token, @JsonProperty("orders") List<Command> commands) {}

  /**
   * Commands sent directly to a worker. They do not renew its lease.
   *
   * @param token fencing token; the worker rejects the commands if it has seen a higher token, and
   *     rejects lower tokens from then on
   * @param incarnation incarnation of the worker that the commands are addressed to
   * @param commands commands, executed in list order
   */
  record DirectCommands(
      @JsonProperty("baton") long token,
      @JsonProperty("shift") long incarnation,
      @JsonProperty("orders") List<Command> commands) {}

  /**
   * A command to a worker concerning one attempt of a task.
   *
   * @param action name of the command on the wire: start, stop ("kill") or acknowledgement of an
   *     exit ("reap")
   * @param task name of the task
   * @param attempt number of the attempt
   * @param graceS seconds allowed for saving a checkpoint before the task is stopped; null if the
   *     command is not a stop
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

    /** Confirms the exit of a task, so that the worker stops reporting it. */
    static Command acknowledgeExit(String task, long attempt) {
      return new Command("reap", task, attempt, null);
    }
  }

  /**
   * Response to a heartbeat whose shard is led by another controller.
   *
   * @param leader name of that controller; null if unknown
   */
  public record LeaderRedirect(@JsonProperty("dispatcher") String leader) {}
}
