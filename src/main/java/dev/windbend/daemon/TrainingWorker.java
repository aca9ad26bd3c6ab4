package dev.windbend.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.runtime.HttpClient;
import dev.windbend.runtime.Json;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A worker for the {@link Rehearsal}: reports, starts tasks and ends each after some reports. */
final class TrainingWorker {
  private static final int REPORTS_A_TASK = 4;
  private static final long LIMIT_MS = 1_000;

  private final HttpClient web;
  private final String machine;
  private final Map<String, RunningTask> tasks = new LinkedHashMap<>();
  private long token;
  private long reports;
  private boolean waiting;

  private static final class RunningTask {
    private final long attempt;
    private int reports;

    RunningTask(long attempt) {
      this.attempt = attempt;
    }

    boolean exited() {
      return reports > REPORTS_A_TASK;
    }
  }

  TrainingWorker(HttpClient web, String machine) {
    this.web = web;
    this.machine = machine;
  }

  /** Sends a report unless the answer to the last one is still awaited. */
  void report(String controller) {
    if (waiting) {
      return;
    }
    waiting = true;
    web.call(
        controller,
        "POST",
        "/hello",
        Json.write(message()),
        LIMIT_MS,
        reply -> {
          waiting = false;
          JsonNode answer = reply.ok() ? Json.read(reply.body(), JsonNode.class) : null;
          if (answer != null) {
            token = Math.max(token, answer.path("baton").asLong());
            answer.path("orders").forEach(this::execute);
          }
        });
  }

  private Map<String, Object> message() {
    Map<String, Object> report = new LinkedHashMap<>();
    report.put("truck", machine);
    report.put("addr", "127.0.0.1:9");
    report.put("rig", "t");
    report.put("yard", "zone");
    report.put("standby", true);
    report.put("shift", 1);
    report.put("tally", ++reports);
    report.put("baton", token);
    report.put("recall_s", null);
    report.put("drops", states());
    return report;
  }

  private List<Map<String, Object>> states() {
    List<Map<String, Object>> states = new ArrayList<>();
    for (Map.Entry<String, RunningTask> entry : tasks.entrySet()) {
      RunningTask task = entry.getValue();
      task.reports++;
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

  private void execute(JsonNode order) {
    String task = order.path("drop").asText();
    if (order.path("order").asText().equals("start")) {
      tasks.putIfAbsent(task, new RunningTask(order.path("run").asLong()));
    } else {
      tasks.remove(task);
    }
  }
}
