package dev.windbend.worker;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** The workers' wire format. */
public final class WorkerMessages {
  private WorkerMessages() {}

  public record Heartbeat(
      @JsonProperty("truck") String machine,
      @JsonProperty("addr") String address,
      @JsonProperty("rig") String type,
      @JsonProperty("yard") String zone,
      @JsonProperty("standby") boolean spot,
      @JsonProperty("shift") long shift,
      @JsonProperty("tally") long tally,
      @JsonProperty("baton") long token,
      @JsonProperty("recall_s") Double recallS,
      @JsonProperty("drops") List<TaskState> tasks) {
    public boolean valid() {
      return machine != null
          && type != null
          && zone != null
          && shift >= 1
          && tally >= 0
          && token >= 0
          && tasks != null
          && tasks.stream().allMatch(t -> t != null && t.task() != null && t.state() != null);
    }
  }

  public record TaskState(
      @JsonProperty("drop") String task,
      @JsonProperty("run") long attempt,
      @JsonProperty("status") String state,
      @JsonProperty("cause") String cause,
      @JsonProperty("saved") Boolean saved) {
    boolean exited() {
      return "exited".equals(state);
    }

    boolean running() {
      return "running".equals(state);
    }

    boolean flushing() {
      return "flushing".equals(state);
    }
  }

  public record Orders(
      @JsonProperty("baton") long token, @JsonProperty("orders") List<Order> orders) {}

  /** Sent straight to a worker. */
  record Commands(
      @JsonProperty("baton") long token,
      @JsonProperty("shift") long shift,
      @JsonProperty("orders") List<Order> orders) {}

  public record Order(
      @JsonProperty("order") String order,
      @JsonProperty("drop") String task,
      @JsonProperty("run") long attempt,
      @JsonProperty("wind_down_s") Double graceS) {
    static Order start(String task, long attempt) {
      return new Order("start", task, attempt, null);
    }

    static Order stop(String task, long attempt, double graceS) {
      return new Order("kill", task, attempt, graceS);
    }

    static Order forget(String task, long attempt) {
      return new Order("reap", task, attempt, null);
    }
  }

  public record Elsewhere(@JsonProperty("dispatcher") String node) {}
}
