package dev.windbend.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.windbend.runtime.ClientResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

/** A user that submits one job, polls its status and may cancel it. */
final class SimulatedUser {
  private final SimulatedCluster cluster;
  final String jobId;
  final String team;
  final int taskCount;
  double coresPerTask;
  double memoryGbPerTask = 1;
  final String zone;
  final boolean spot;

  /** All tasks of the job must run in one zone. */
  boolean together;

  /** At most half of the tasks, rounded up, may run in one zone. */
  boolean spread;

  /** The only machine type on which the job may run; null: any. */
  String machineType;

  /** The tasks of the job fail on every machine, as those of a faulty submission do. */
  boolean tasksAlwaysFail;

  /** Last time at which no waiting task of the job could have started, or a task completed. */
  long startableSinceMs;

  /** Whether the user cancels the job. */
  boolean cancelsJob;

  /** -1: not submitted yet. */
  long firstSubmittedMs = -1;

  /** When the first response with the status "aborted" arrived; -1: none has. */
  long cancellationConfirmedMs = -1;

  long lastResponseMs;

  /** When the final status arrived first; before that, when the last response with a status did. */
  long endedMs;

  /** -1: no task has started yet. */
  long firstTaskStartedMs = -1;

  /** The status in the last response; empty: no response has arrived. */
  String lastStatus = "";

  /** Name of a controller that {@link #sendToRandomController} does not choose; null: none. */
  String avoidedController;

  SimulatedUser(
      SimulatedCluster cluster,
      int jobNumber,
      int taskCount,
      String zone,
      boolean spot,
      boolean cancelsJob) {
    this(
        cluster,
        jobNumber,
        List.of("red", "blue", "green").get(jobNumber % 3),
        taskCount,
        zone,
        spot,
        cancelsJob);
  }

  /** A user of any team, including "guests", which has neither a guarantee nor a limit. */
  SimulatedUser(
      SimulatedCluster cluster,
      int jobNumber,
      String team,
      int taskCount,
      String zone,
      boolean spot,
      boolean cancelsJob) {
    this.cluster = cluster;
    this.jobId = "wk-%06d".formatted(jobNumber);
    this.team = team;
    this.taskCount = taskCount;
    this.coresPerTask = 1 + jobNumber % 2;
    this.zone = zone;
    this.spot = spot;
    this.cancelsJob = cancelsJob;
    cluster.users.put(jobId, this);
  }

  /** The job of the user and its last known status. */
  ObjectNode save() {
    return FakeStateService.JSON
        .createObjectNode()
        .put("job", jobId)
        .put("team", team)
        .put("tasks", taskCount)
        .put("zone", zone)
        .put("spot", spot)
        .put("together", together)
        .put("spread", spread)
        .put("type", machineType)
        .put("cancels", cancelsJob)
        .put("status", lastStatus)
        .put("sent_ms", firstSubmittedMs)
        .put("begun_ms", firstTaskStartedMs)
        .put("cancelled_ms", cancellationConfirmedMs);
  }

  /** Restores a saved user, who continues to submit, poll or cancel the job. */
  static SimulatedUser load(SimulatedCluster cluster, JsonNode saved) {
    SimulatedUser user =
        new SimulatedUser(
            cluster,
            Integer.parseInt(saved.get("job").asText().substring("wk-".length())),
            saved.get("team").asText(),
            saved.get("tasks").asInt(),
            saved.get("zone").isNull() ? null : saved.get("zone").asText(),
            saved.get("spot").asBoolean(),
            saved.get("cancels").asBoolean());
    user.together = saved.get("together").asBoolean();
    user.spread = saved.get("spread").asBoolean();
    user.machineType = saved.get("type").isNull() ? null : saved.get("type").asText();
    user.lastStatus = saved.get("status").asText();
    user.firstSubmittedMs = saved.get("sent_ms").asLong();
    user.firstTaskStartedMs = saved.get("begun_ms").asLong();
    user.cancellationConfirmedMs = saved.get("cancelled_ms").asLong();
    user.lastResponseMs = cluster.time.nowMs();
    user.endedMs = cluster.time.nowMs();
    user.startableSinceMs = cluster.time.nowMs();
    boolean ended = user.lastStatus.equals("done") || user.lastStatus.equals("aborted");
    cluster.time.schedule(1_000, user.lastStatus.isEmpty() ? user::submit : user::poll);
    if (user.cancelsJob && !ended && !user.lastStatus.isEmpty()) {
      cluster.time.schedule(8_000, user::cancel);
    }
    return user;
  }

  /** Submits the job until it is accepted, then polls it and cancels it if {@link #cancelsJob}. */
  void submit() {
    long sentMs = cluster.time.nowMs();
    if (firstSubmittedMs < 0) {
      firstSubmittedMs = cluster.time.nowMs();
    }
    sendToRandomController(
        "POST",
        "/v1/jobs",
        submissionBody(),
        5_000,
        response -> {
          if (response.status() == 201 || response.status() == 200) {
            handleResponse(response, sentMs);
            cluster.time.schedule(5_000, this::poll);
            if (cancelsJob) {
              cluster.time.schedule(
                  Math.max(0, cluster.earliestCancellationMs - cluster.time.nowMs())
                      + cluster.random.nextInt(20_000),
                  this::cancel);
            }
          } else if (response.status() == 400 || response.status() == 422) {
            cluster.invariantChecker.addViolation(
                "forgotten: " + jobId + " was rejected with " + response.status());
          } else {
            cluster.time.schedule(1_000, this::submit);
          }
        });
  }

  private byte[] submissionBody() {
    ObjectNode submission = FakeStateService.JSON.createObjectNode();
    submission
        .put("uid", jobId)
        .put("fleet", "f" + taskCount % 3)
        .put("crew", team)
        .put("shape", "batch");
    submission.put("urgency", taskCount % 4 == 0 ? "urgent" : "standard").put("drops", taskCount);
    submission
        .put("cores", coresPerTask)
        .put("cards", 0.0)
        .put("ram_gb", memoryGbPerTask)
        .put("load", "img");
    submission
        .put("pull_gb", 0.1)
        .put("yard", zone)
        .put("together", together)
        .put("spread", spread);
    submission.put("standby", spot).put("haul_s", 6.0).put("waypoint_s", 0.0).put("stow_s", 0.0);
    submission.put("due_s", taskCount % 2 == 0 ? 60.0 : null);
    if (machineType != null) {
      submission.putArray("rigs").add(machineType);
    }
    return submission.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Queries the job and submits it again at every controller within milliseconds. */
  private void queryAllControllers() {
    for (int i = 0; i < cluster.controllerCount; i++) {
      int controllerIndex = i;
      cluster.time.schedule(
          1 + cluster.random.nextInt(20),
          () -> queryController(controllerIndex, "GET", "/v1/jobs/" + jobId, null));
      cluster.time.schedule(
          1 + cluster.random.nextInt(20),
          () -> queryController(controllerIndex, "POST", "/v1/jobs", submissionBody()));
    }
  }

  private void queryController(int controllerIndex, String method, String path, byte[] body) {
    long sentMs = cluster.time.nowMs();
    cluster.sendRequest(
        "users",
        "n" + controllerIndex + ":80",
        method,
        path,
        body,
        2_000,
        response -> {
          if (response.status() == 200) {
            handleResponse(response, sentMs);
          } else if (response.status() == 201) {
            cluster.invariantChecker.addViolation(
                "forgotten: " + jobId + " was accepted as a new job when submitted again");
          } else if (response.status() >= 400
              && response.status() < 500
              && response.status() != 429) {
            cluster.invariantChecker.addViolation(
                "forgotten: " + jobId + " got " + response.status() + " for " + method);
          }
        });
  }

  /** Queries the status of the job every 5 s. */
  void poll() {
    long sentMs = cluster.time.nowMs();
    sendToRandomController(
        "GET",
        "/v1/jobs/" + jobId,
        null,
        2_000,
        response -> {
          if (response.status() == 404) {
            cluster.invariantChecker.addViolation("forgotten: " + jobId + " got 404 for a query");
          } else if (response.status() == 200) {
            handleResponse(response, sentMs);
          } else if (cluster.time.nowMs()
                  - Math.max(lastResponseMs, cluster.invariantChecker.faultsEndMs)
              > InvariantChecker.MAX_UNANSWERED_MS) {
            cluster.invariantChecker.addViolation(
                "forgotten: " + jobId + " got no response to its queries for 75 s");
          }
          cluster.time.schedule(5_000, this::poll);
        });
  }

  /** Cancels the job; repeats the request until it succeeds. */
  void cancel() {
    long sentMs = cluster.time.nowMs();
    sendToRandomController(
        "POST",
        "/v1/jobs/" + jobId + "/cancel",
        new byte[0],
        5_000,
        response -> {
          if (response.status() == 200) {
            handleResponse(response, sentMs);
          } else {
            cluster.time.schedule(1_000, this::cancel);
          }
        });
  }

  /**
   * Checks the status in a response.
   *
   * @param sentMs when the request was sent
   */
  private void handleResponse(ClientResponse response, long sentMs) {
    lastResponseMs = cluster.time.nowMs();
    String status = cluster.parseJson(response.body()).path("status").asText();
    boolean ended = lastStatus.equals("done") || lastStatus.equals("aborted");
    if (ended && !status.equals(lastStatus)) {
      if (sentMs > endedMs) {
        cluster.invariantChecker.addViolation(
            "went_back: "
                + jobId
                + " changed from the final status "
                + lastStatus
                + " to "
                + status);
      }
      return; // sent before the final status arrived; this response was overtaken
    }
    if (!ended) {
      endedMs = cluster.time.nowMs();
    }
    if (status.equals("aborted")) {
      if (!cancelsJob) {
        cluster.invariantChecker.addViolation(
            "went_back: " + jobId + " has the status aborted, but its user did not cancel it");
      }
      if (cancellationConfirmedMs < 0) {
        cancellationConfirmedMs = cluster.time.nowMs();
      }
    }
    if (status.equals("done")) {
      for (int taskIndex = 0; taskIndex < taskCount; taskIndex++) {
        if (!cluster.invariantChecker.isCompleted(jobId + "/" + taskIndex)) {
          cluster.invariantChecker.addViolation(
              "not_done: job has the status done, but a task has not completed: "
                  + jobId
                  + "/"
                  + taskIndex);
        }
      }
    }
    boolean statusChanged =
        !lastStatus.equals(status) && (lastStatus.isEmpty() || !status.equals("running"));
    lastStatus = status;
    if (cluster.usersQueryAllControllers && statusChanged) {
      queryAllControllers();
    }
  }

  private void sendToRandomController(
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<ClientResponse> onResponse) {
    int controllerIndex = cluster.random.nextInt(cluster.controllerCount);
    if (("n" + controllerIndex).equals(avoidedController)) {
      controllerIndex = (controllerIndex + 1) % cluster.controllerCount;
    }
    cluster.sendRequest(
        "users", "n" + controllerIndex + ":80", method, path, body, timeoutMs, onResponse);
  }
}
