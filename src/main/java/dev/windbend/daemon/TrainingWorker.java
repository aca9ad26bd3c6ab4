package dev.windbend.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.runtime.HttpClient;
import dev.windbend.runtime.Json;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A simulated worker for {@link ClassArchiveTraining}. It sends heartbeats, starts tasks and
 * reports each task as exited after a fixed number of heartbeats.
 */
final class TrainingWorker {
  private static final int MAX_HEARTBEATS_WHILE_RUNNING = 4;
  private static final long REQUEST_TIMEOUT_MS = 1_000;

  private final HttpClient http;
  private final String machine;
  private final Map<String, RunningTask> tasks = new LinkedHashMap<>();
  private long fencingToken;
  private long heartbeats;
  private boolean awaitingResponse;

  private static final class RunningTask {
    private final long attempt;
    private int heartbeats;

    RunningTask(long attempt) {
      this.attempt = attempt;
    }

    boolean exited() {
      return heartbeats > MAX_HEARTBEATS_WHILE_RUNNING;
    }
  }

  TrainingWorker(HttpClient http, String machine) {
    this.http = http;
    this.machine = machine;
  }

  /** Sends a heartbeat unless the response to the previous heartbeat is pending. */
  void sendHeartbeat(String controllerAddress) {
    if (awaitingResponse) {
      return;
    }
    awaitingResponse = true;
    http.call(
        controllerAddress,
        "POST",
        "/hello",
        Json.write(heartbeat()),
        REQUEST_TIMEOUT_MS,
        reply -> {
          awaitingResponse = false;
          JsonNode response = reply.ok() ? Json.read(reply.body(), JsonNode.class) : null;
          if (response != null) {
            fencingToken = Math.max(fencingToken, response.path("baton").asLong());
            response.path("orders").forEach(this::execute);
          }
        });
  }

  private Map<String, Object> heartbeat() {
    Map<String, Object> heartbeat = new LinkedHashMap<>();
    heartbeat.put("truck", machine);
    heartbeat.put("addr", "127.0.0.1:9");
    heartbeat.put("rig", "t");
    heartbeat.put("yard", "zone");
    heartbeat.put("standby", true);
    heartbeat.put("shift", 1);
    heartbeat.put("tally", ++heartbeats);
    heartbeat.put("baton", fencingToken);
    heartbeat.put("recall_s", null);
    heartbeat.put("drops", taskStates());
    return heartbeat;
  }

  private List<Map<String, Object>> taskStates() {
    List<Map<String, Object>> states = new ArrayList<>();
    for (Map.Entry<String, RunningTask> entry : tasks.entrySet()) {
      RunningTask task = entry.getValue();
      task.heartbeats++;
      Map<String, Object> state = new LinkedHashMap<>();
      state.put("drop", entry.getKey());
      state.put("run", task.attempt);
      state.put("status", task.exited() ? "exited" : "running");
      if (task.exited()) {
        state.put("cause", "done");
      }
      states.add(state);
    }
    return states;
  }

  private void execute(JsonNode command) {
    String task = command.path("drop").asText();
    if (command.path("order").asText().equals("start")) {
      tasks.putIfAbsent(task, new RunningTask(command.path("run").asLong()));
    } else {
      tasks.remove(task);
    }
  }
}
