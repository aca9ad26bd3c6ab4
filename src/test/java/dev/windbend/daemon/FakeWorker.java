package dev.windbend.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.windbend.runtime.ClientResponse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The worker of a simulated machine, with the published protocol. */
final class FakeWorker {
  static final long RESPONSE_TIMEOUT_MS = 4_000;
  private static final long IMAGE_PULL_MS = 300;

  final String name;
  final String zone;
  final boolean spot;
  private final SimulatedCluster cluster;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private int controllerIndex;

  /** Increases each time the lease expires. */
  private long incarnation = 1;

  /** Increases with each heartbeat and each direct command. */
  private long sequence;

  private long fencingToken;
  private long leaseStartMs;
  private long lastHeartbeatMs;

  /**
   * Number of the last scheduled or sent heartbeat; timers and responses of older ones are void.
   */
  private long heartbeatSchedule;

  private boolean heartbeatInFlight;

  /** Whether a task or the fencing token changed while a heartbeat was in flight. */
  private boolean changedInFlight;

  /** The machine has been returned to the cloud or reclaimed by it. */
  boolean terminated;

  /** Sends and executes nothing while true. */
  boolean hung;

  /** Has sent its first heartbeat. */
  boolean started;

  /** Every task on this machine fails 200 ms after its start. */
  boolean failsAllTasks;

  /** Announced time until the cloud reclaims the machine; null: not announced. */
  Double reclaimInSeconds;

  private static final class Task {
    String name;
    long attempt;
    String status;
    String cause;

    /** Whether the invariant checker counts the task as running on this machine. */
    boolean running;

    /** How long the machine hung between receipt of the start command and start of the task. */
    long hungMs;
  }

  FakeWorker(SimulatedCluster cluster, String name, String zone, boolean spot) {
    this.cluster = cluster;
    this.name = name;
    this.zone = zone;
    this.spot = spot;
    this.controllerIndex = cluster.random.nextInt(cluster.controllerCount);
  }

  /** The state of the machine and its tasks. */
  ObjectNode save() {
    ObjectNode savedState =
        FakeStateService.JSON
            .createObjectNode()
            .put("machine", name)
            .put("zone", zone)
            .put("spot", spot)
            .put("up", started)
            .put("controller", controllerIndex)
            .put("session", incarnation)
            .put("report", sequence)
            .put("token", fencingToken);
    ArrayNode savedTasks = savedState.putArray("tasks");
    for (Task task : tasks.values()) {
      savedTasks
          .addObject()
          .put("task", task.name)
          .put("attempt", task.attempt)
          .put("status", task.status)
          .put("cause", task.cause);
    }
    return savedState;
  }

  /** Restores a saved state. Running tasks get their full run time, the lease its full duration. */
  void load(JsonNode saved) {
    controllerIndex = saved.get("controller").asInt();
    incarnation = saved.get("session").asLong();
    sequence = saved.get("report").asLong();
    fencingToken = saved.get("token").asLong();
    for (JsonNode savedTask : saved.get("tasks")) {
      Task task = new Task();
      task.name = savedTask.get("task").asText();
      task.attempt = savedTask.get("attempt").asLong();
      task.status = savedTask.get("status").asText();
      task.cause = savedTask.get("cause").isNull() ? null : savedTask.get("cause").asText();
      tasks.put(task.name, task);
      if (task.status.equals("pulling")) {
        cluster.time.schedule(IMAGE_PULL_MS, () -> beginRunning(task));
      } else if (task.status.equals("running")) {
        task.running = true;
        cluster.invariantChecker.addRunningTask(task.name, this);
        cluster.time.schedule(cluster.taskRunMs(task.name), () -> endTask(task));
      }
    }
    cluster.time.schedule(
        saved.get("up").asBoolean() ? cluster.random.nextInt(1_000) : cluster.minBootMs,
        this::start);
  }

  /** Adds a running task, as if a controller of an earlier release had started it. */
  void addRunningTask(String taskName, long attempt) {
    Task task = new Task();
    task.name = taskName;
    task.attempt = attempt;
    task.status = "running";
    task.running = true;
    tasks.put(taskName, task);
    cluster.invariantChecker.addRunningTask(taskName, this);
  }

  /** The highest fencing token that the worker has received. */
  long fencingToken() {
    return fencingToken;
  }

  void start() {
    started = true;
    leaseStartMs = cluster.time.nowMs();
    sendHeartbeat();
    checkLease();
  }

  /** Stops all tasks and sends no more heartbeats. */
  void terminate() {
    terminated = true;
    tasks.values().forEach(this::stopTask);
    tasks.clear();
  }

  /** Stops all tasks and begins a new incarnation when the lease has expired. */
  private void checkLease() {
    if (terminated) {
      return;
    }
    if (!hung && cluster.time.nowMs() - leaseStartMs > SimulatedCluster.LEASE_MS) {
      cluster.expiredLeasesWithTasks += tasks.isEmpty() ? 0 : 1;
      beginIncarnation();
    }
    cluster.time.schedule(200, this::checkLease);
  }

  private void beginIncarnation() {
    tasks.values().forEach(this::stopTask);
    tasks.clear();
    incarnation++;
    leaseStartMs = cluster.time.nowMs();
  }

  /** Stops all tasks, as when the machine restarts, and sends a heartbeat after the delay. */
  void restart(long delayMs) {
    if (!terminated && started) {
      beginIncarnation();
      scheduleHeartbeat(delayMs);
    }
  }

  /** Schedules the next heartbeat in place of one that is already scheduled. */
  private void scheduleHeartbeat(long delayMs) {
    long schedule = ++heartbeatSchedule;
    cluster.time.schedule(
        delayMs,
        () -> {
          if (schedule == heartbeatSchedule) {
            sendHeartbeat();
          }
        });
  }

  private void sendHeartbeat() {
    if (terminated) {
      return;
    }
    if (hung) {
      scheduleHeartbeat(500);
      return;
    }
    byte[] heartbeat = nextReport();
    long sentMs = cluster.time.nowMs();
    lastHeartbeatMs = sentMs;
    long sentIncarnation = incarnation;
    long schedule = ++heartbeatSchedule;
    boolean[] completed = {false};
    heartbeatInFlight = true;
    changedInFlight = false;
    cluster.sendRequest(
        name,
        "n" + controllerIndex + ":80",
        "POST",
        "/hello",
        heartbeat,
        RESPONSE_TIMEOUT_MS,
        response -> {
          if (completed[0] || terminated || hung || schedule != heartbeatSchedule) {
            return;
          }
          completed[0] = true;
          heartbeatInFlight = false;
          if (InvariantChecker.isLineOversized(response)) {
            scheduleHeartbeat(SimulatedCluster.HEARTBEAT_INTERVAL_MS);
          } else if (response.status() == 200) {
            handleHeartbeatResponse(cluster.parseJson(response.body()), sentMs, sentIncarnation);
          } else if (response.status() == 421
              && cluster.parseJson(response.body()).hasNonNull("dispatcher")) {
            controllerIndex =
                cluster.parseJson(response.body()).get("dispatcher").asText().charAt(1) - '0';
            scheduleHeartbeat(300);
          } else {
            controllerIndex = (controllerIndex + 1) % cluster.controllerCount;
            scheduleHeartbeat(1_000);
          }
        });
    cluster.time.schedule(
        RESPONSE_TIMEOUT_MS + 10,
        () -> {
          if (!completed[0] && schedule == heartbeatSchedule) {
            completed[0] = true;
            heartbeatInFlight = false;
            controllerIndex = (controllerIndex + 1) % cluster.controllerCount;
            scheduleHeartbeat(1_000);
          }
        });
  }

  /** The state of the machine and its tasks, with the next sequence number. */
  private byte[] nextReport() {
    ObjectNode report =
        FakeStateService.JSON
            .createObjectNode()
            .put("truck", name)
            .put("addr", name + ":1")
            .put("rig", "t4")
            .put("yard", zone)
            .put("standby", spot)
            .put("shift", incarnation)
            .put("tally", ++sequence)
            .put("baton", fencingToken)
            .put("recall_s", reclaimInSeconds);
    ArrayNode taskStates = report.putArray("drops");
    for (Task task : tasks.values()) {
      ObjectNode taskState = taskStates.addObject();
      taskState.put("drop", task.name).put("run", task.attempt).put("status", task.status);
      if (task.cause != null) {
        taskState.put("cause", task.cause);
      }
    }
    return report.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
  }

  /** Handles a direct command. A hung machine handles it when it is no longer hung. */
  void handleCommand(JsonNode command, Consumer<ClientResponse> onResponse) {
    if (terminated) {
      return;
    }
    if (hung) {
      cluster.time.schedule(300, () -> handleCommand(command, onResponse));
      return;
    }
    if (command.path("baton").asLong(-1) < fencingToken
        || command.path("shift").asLong() != incarnation) {
      onResponse.accept(new ClientResponse(409, nextReport()));
      return;
    }
    boolean changed = command.path("baton").asLong() > fencingToken;
    fencingToken = command.path("baton").asLong();
    changed |= executeCommands(command);
    if (changed) {
      scheduleHeartbeatAfterChange();
    }
    onResponse.accept(new ClientResponse(200, nextReport()));
  }

  /** Ignores a response with an older fencing token or to a heartbeat of an older incarnation. */
  private void handleHeartbeatResponse(JsonNode response, long sentMs, long sentIncarnation) {
    long responseToken = response.path("baton").asLong(-1);
    scheduleHeartbeat(
        SimulatedCluster.HEARTBEAT_INTERVAL_MS * 3 / 4
            + cluster.random.nextInt((int) SimulatedCluster.HEARTBEAT_INTERVAL_MS / 2));
    if (responseToken < fencingToken || sentIncarnation != incarnation) {
      return;
    }
    boolean changed = responseToken > fencingToken;
    fencingToken = responseToken;
    leaseStartMs = sentMs;
    changed |= executeCommands(response);
    if (changed || changedInFlight) {
      scheduleHeartbeatAfterChange();
    }
  }

  /** Returns whether the state of a task changed. */
  private boolean executeCommands(JsonNode message) {
    boolean changed = false;
    for (JsonNode command : message.path("orders")) {
      String taskName = command.get("drop").asText();
      long attempt = command.get("run").asLong();
      Task task = tasks.get(taskName);
      switch (command.get("order").asText()) {
        case "start" -> changed |= startTask(taskName, attempt, task);
        case "kill" -> {
          if (task != null && task.attempt == attempt && !task.status.equals("exited")) {
            exitTask(task, "halted");
            changed = true;
          }
        }
        default -> {
          if (task != null && task.attempt == attempt && task.status.equals("exited")) {
            tasks.remove(taskName);
          }
        }
      }
    }
    return changed;
  }

  /**
   * Sends a change without waiting for the regular heartbeat, at most one heartbeat each 500 ms.
   * Only one heartbeat is in flight at a time: a change in the meantime is sent in the next one.
   */
  private void scheduleHeartbeatAfterChange() {
    if (heartbeatInFlight) {
      changedInFlight = true;
    } else {
      scheduleHeartbeat(Math.max(0, lastHeartbeatMs + 500 - cluster.time.nowMs()));
    }
  }

  /**
   * @param previous the task of the same name on this machine; null: none
   */
  private boolean startTask(String taskName, long attempt, Task previous) {
    if (previous != null && previous.attempt == attempt) {
      return false;
    }
    if (previous != null && !previous.status.equals("exited")) {
      cluster.invariantChecker.addViolation(
          "in_use: "
              + taskName
              + " was to start on "
              + name
              + ", where another attempt has not exited");
      return false;
    }
    Task task = new Task();
    task.name = taskName;
    task.attempt = attempt;
    task.status = "pulling";
    tasks.put(taskName, task);
    cluster.time.schedule(IMAGE_PULL_MS, () -> beginRunning(task));
    return true;
  }

  private void beginRunning(Task task) {
    if (terminated || tasks.get(task.name) != task || !task.status.equals("pulling")) {
      return;
    }
    if (hung) {
      task.hungMs += IMAGE_PULL_MS;
      cluster.time.schedule(IMAGE_PULL_MS, () -> beginRunning(task));
      return;
    }
    task.status = "running";
    task.running = true;
    cluster.invariantChecker.taskStarted(task.name, this, task.hungMs);
    scheduleHeartbeatAfterChange();
    boolean taskFails = failsAllTasks || cluster.alwaysFails(task.name);
    cluster.time.schedule(taskFails ? 200 : cluster.taskRunMs(task.name), () -> endTask(task));
  }

  private void endTask(Task task) {
    if (terminated || tasks.get(task.name) != task || !task.status.equals("running")) {
      return;
    }
    if (hung) {
      cluster.time.schedule(300, () -> endTask(task));
      return;
    }
    boolean taskFails = failsAllTasks || cluster.alwaysFails(task.name);
    if (!taskFails) {
      cluster.taskCompleted(task.name);
    }
    exitTask(task, taskFails ? "error" : "done");
    scheduleHeartbeatAfterChange();
  }

  private void exitTask(Task task, String cause) {
    stopTask(task);
    task.status = "exited";
    task.cause = cause;
  }

  private void stopTask(Task task) {
    if (task.running) {
      task.running = false;
      cluster.invariantChecker.taskStopped(task.name, this);
    }
  }

  /** Names of the tasks that run on the machine. */
  List<String> runningTasks() {
    List<String> names = new ArrayList<>();
    for (Task task : tasks.values()) {
      if (task.running) {
        names.add(task.name);
      }
    }
    return names;
  }
}
