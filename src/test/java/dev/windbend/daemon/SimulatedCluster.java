package dev.windbend.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.windbend.runtime.ClientResponse;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import dev.windbend.shard.Policy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;

/**
 * Runs controllers in virtual time with a fake state service, a fake cloud, fake workers and
 * simulated users, and checks the invariants. The same seed gives the same sequence of messages.
 *
 * <p>Controllers are named "n0", "n1", and so on. A task is named "JOB/INDEX".
 */
final class SimulatedCluster {
  static final long LEASE_MS = 14_000;
  static final long HEARTBEAT_INTERVAL_MS = 1_500;
  static final long MAX_CANCELLATION_MS = 30_000;

  static final double DEFAULT_TEAM_MAX_CORES = 40;
  static final double MACHINE_CORES = 4;

  final VirtualTime time = new VirtualTime();
  final Random random;
  final FakeStateService stateService = new FakeStateService(time);
  final Map<String, FakeWorker> machines = new LinkedHashMap<>();
  final InvariantChecker invariantChecker = new InvariantChecker(this);
  final Map<String, SimulatedUser> users = new LinkedHashMap<>();
  final int controllerCount;
  private final Controller[] controllers;
  private final VirtualTime.ProcessLoop[] eventLoops;
  private final Map<String, List<String>> machinesByScaleOutRequest = new HashMap<>();
  private final Set<String> listedMachines = new HashSet<>();
  private int nextMachineNumber;
  int cloudCapacity = 30;

  /** Delivers a message to its receiver. */
  interface Delivery {
    void deliver(
        String from,
        String address,
        String method,
        String path,
        byte[] body,
        Consumer<ClientResponse> onResponse);
  }

  /**
   * Delivers each message that is not lost. {@link LoopbackCluster} replaces it to send the
   * messages to controllers over sockets.
   */
  Delivery delivery = this::deliver;

  /** Is called for each message that a controller sends. */
  MessageRecorder recorder = MessageRecorder.NONE;

  /** Maximum cores of each team; the team "guests" has no maximum. */
  double teamMaxCores = DEFAULT_TEAM_MAX_CORES;

  /** The operators' settings, the same for all controllers. */
  Policy policy = OperatorSettings.defaults();

  /** Number of machines that the controllers have returned to the cloud. */
  int scaledInMachines;

  /** Probability that a request is lost, and that the response to a delivered request is lost. */
  double lossProbability = 0.002;

  /** Probability that a request is delayed by up to 30 s more. */
  double delayProbability = 0.002;

  /**
   * Probability that a transaction of the state service gets no response and is executed 2 to 12 s
   * later.
   */
  double delayedWriteProbability;

  /** Probability that the response to an executed transaction is lost. */
  double lostWriteResponseProbability;

  /** Probability that a direct command gets no response and is executed 2 to 16 s later. */
  double delayedCommandProbability;

  /**
   * Probability that a scale-out or scale-in request to the cloud gets no response and is executed
   * 4 to 60 s later.
   */
  double delayedCloudCallProbability;

  /**
   * Whether a user, when the job is accepted or ends, queries all controllers and submits the job
   * to each of them again within milliseconds.
   */
  boolean usersQueryAllControllers;

  /**
   * Minimum time from the creation of a machine to its first heartbeat; a random time below {@link
   * #bootJitterMs} is added.
   */
  long minBootMs = 3_000;

  long bootJitterMs = 4_000;

  /** The last heartbeat of each machine by name, including terminated machines. */
  private final Map<String, byte[]> latestHeartbeats = new LinkedHashMap<>();

  /** Upper bound of an additional random delay of each request to the state service. */
  long maxStateServiceDelayMs;

  /** Upper bound of an additional random delay of each heartbeat. */
  long maxHeartbeatDelayMs;

  /**
   * Whether a user submits, queries and possibly cancels the job within 1.5 s after its last task
   * completes, so that the requests arrive together with the heartbeat that reports the completion.
   */
  boolean usersActAtJobEnd;

  /** Whether all direct commands are lost. */
  boolean dropCommands;

  /** Names of machines whose requests are all lost. */
  final Set<String> machinesWithBlockedRequests = new HashSet<>();

  /**
   * Probability that a copy of a heartbeat is also delivered to a random controller, after 1 s plus
   * a random delay below {@link #maxDuplicateDelayMs}.
   */
  double duplicateHeartbeatProbability;

  long maxDuplicateDelayMs = 45_000;

  /** Time that is added to the run time of every task. */
  long additionalRunMs;

  /** Difference of the run times of consecutive tasks of a job. */
  long runTimeStepMs;

  /** Run time of a task in ms, by the name of the task. */
  ToLongFunction<String> taskRunTimeMs = this::defaultTaskRunMs;

  /** Maximum number of tasks of a job. */
  int maxTasksPerJob = 12;

  /** Earliest virtual time at which users cancel their jobs after acceptance. */
  long earliestCancellationMs;

  /** Number of leases of workers that expired while the worker had tasks. */
  int expiredLeasesWithTasks;

  /** Links "SENDER>RECEIVER" whose messages are lost. Requests on them end by time-out. */
  final Set<String> blockedLinks = new HashSet<>();

  /**
   * Whether messages from the first host to the second are lost, in addition to {@link
   * #blockedLinks}.
   */
  BiPredicate<String, String> linkBlocked = (from, to) -> false;

  /** Links "SENDER>RECEIVER" on which requests fail after 1 ms, as with a refused connection. */
  final Set<String> refusedLinks = new HashSet<>();

  /** Additional delay of each event of a controller, by the index of the controller. */
  final long[] eventDelayMs;

  SimulatedCluster(long seed) {
    this(seed, 3);
  }

  SimulatedCluster(long seed, int controllerCount) {
    this.random = new Random(seed);
    this.controllerCount = controllerCount;
    this.controllers = new Controller[controllerCount];
    this.eventLoops = new VirtualTime.ProcessLoop[controllerCount];
    this.eventDelayMs = new long[controllerCount];
  }

  // ---- controllers

  void startController(int controllerIndex) {
    VirtualTime.ProcessLoop eventLoop =
        time
        .new ProcessLoop(
            random.nextInt(1_000_000),
            random.nextInt(200) - 100,
            () -> eventDelayMs[controllerIndex]);
    eventLoops[controllerIndex] = eventLoop;
    try {
      controllers[controllerIndex] =
          new Controller(
              SettingsReader.parse(controllerSettings(controllerIndex)),
              policy,
              eventLoop,
              (address, method, path, body, timeoutMs, onResponse) -> {
                recorder.requestSent("n" + controllerIndex, address, method, path, body, timeoutMs);
                sendRequestFrom(
                    eventLoop,
                    "n" + controllerIndex,
                    address,
                    method,
                    path,
                    body,
                    timeoutMs,
                    onResponse);
              });
    } catch (InvalidSettingsException e) {
      throw new AssertionError(e);
    }
    eventLoop.after(1_000, controllers[controllerIndex]::start);
  }

  /** Stops a running controller at once and starts it again without its state after the delay. */
  void killController(int controllerIndex, long restartDelayMs) {
    if (controllers[controllerIndex] == null) {
      return;
    }
    eventLoops[controllerIndex].kill();
    controllers[controllerIndex] = null;
    time.schedule(restartDelayMs, () -> startController(controllerIndex));
  }

  /** Pauses the event loop of a controller, while its clocks advance. */
  void pauseController(int controllerIndex, long durationMs) {
    if (eventLoops[controllerIndex] != null) {
      eventLoops[controllerIndex].pause(durationMs);
    }
  }

  /** The text of the settings file of a controller. */
  String controllerSettings(int controllerIndex) {
    StringBuilder toml = new StringBuilder();
    toml.append("host_name = \"n%d\"\ndomain = \"a\"\n".formatted(controllerIndex));
    toml.append(
        "client_listen = \"n%1$d:80\"\npeer_bind = \"n%1$d:81\"\n".formatted(controllerIndex));
    for (int peerIndex = 0; peerIndex < controllerCount; peerIndex++) {
      if (peerIndex != controllerIndex) {
        toml.append("[[seeds]]\nhost_name = \"n%1$d\"\naddr = \"n%1$d:81\"\n".formatted(peerIndex));
      }
    }
    toml.append("[services]\ncloud = \"cloud:1\"\nstate = \"state:1\"\n[facts]\n");
    toml.append("size = %d\n".formatted(controllerCount));
    toml.append("zones = [\"a\", \"b\"]\n");
    for (String team : List.of("red", "blue", "green")) {
      toml.append(
          "[[facts.teams]]\nname = \"%s\"\ncpus = 16.0\ncpus_max = %s\ngpus = 0.0\ngpus_max = 0.0\n"
              .formatted(team, teamMaxCores));
    }
    toml.append("[[facts.teams]]\nname = \"guests\"\ncpus = 0.0\ncpus_max = 0.0\n");
    toml.append("[facts.workers]\nreport_s = 1.5\nlease_s = 14.0\ncancel_s = 30.0\n");
    toml.append("[facts.state]\nrps = 150.0\nwrite_rps = 40.0\nvalue_kb = 4.0\ntxn_ops = 8\n");
    toml.append("[facts.cloud]\nrps = 6.0\nlist_lag_s = 4.0\n");
    return toml.toString();
  }

  // ---- network

  /** Returns an empty object if the body is not JSON. */
  JsonNode parseJson(byte[] body) {
    try {
      return FakeStateService.JSON.readTree(body);
    } catch (java.io.IOException e) {
      return FakeStateService.JSON.createObjectNode();
    }
  }

  /**
   * Sends a request with the delays and losses of the simulated network.
   *
   * @param from host name of the sender
   * @param onResponse called once, with {@link ClientResponse#NO_RESPONSE} on a time-out or failure
   */
  void sendRequest(
      String from,
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<ClientResponse> onResponse) {
    sendRequestFrom(null, from, address, method, path, body, timeoutMs, onResponse);
  }

  /**
   * @param senderLoop event loop that runs {@code onResponse}; null: it runs without an event loop
   */
  private void sendRequestFrom(
      VirtualTime.ProcessLoop senderLoop,
      String from,
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<ClientResponse> onResponse) {
    boolean[] completed = {false};
    Consumer<ClientResponse> completeOnce =
        response -> {
          if (completed[0]) {
            return;
          }
          completed[0] = true;
          invariantChecker.checkResponseSize(from, path, response);
          if (senderLoop == null) {
            onResponse.accept(response);
          } else {
            senderLoop.run(() -> onResponse.accept(response));
          }
        };
    time.schedule(timeoutMs, () -> completeOnce.accept(ClientResponse.NO_RESPONSE));
    if (!invariantChecker.checkRequestSize(from, path, body)) {
      time.schedule(1, () -> completeOnce.accept(new ClientResponse(413, new byte[0])));
      return;
    }
    String receiver = hostOf(address);
    if (refusedLinks.contains(from + ">" + receiver)) {
      time.schedule(1, () -> completeOnce.accept(ClientResponse.NO_RESPONSE));
      return;
    }
    if (path.equals("/hello")) {
      latestHeartbeats.put(from, body);
    }
    if (path.equals("/hello")
        && duplicateHeartbeatProbability > 0
        && random.nextDouble() < duplicateHeartbeatProbability) {
      // A late copy: its response is discarded.
      String anyController = "n" + random.nextInt(controllerCount) + ":80";
      time.schedule(
          1_000L + random.nextInt((int) maxDuplicateDelayMs),
          () -> delivery.deliver(from, anyController, method, path, body, response -> {}));
    }
    if (blockedLinks.contains(from + ">" + receiver)
        || linkBlocked.test(from, receiver)
        || machinesWithBlockedRequests.contains(from)
        || random.nextDouble() < lossProbability) {
      return;
    }
    if (dropCommands && path.equals("/commands")) {
      return;
    }
    if (delayedCommandProbability > 0
        && path.equals("/commands")
        && random.nextDouble() < delayedCommandProbability) {
      time.schedule(
          2_000L + random.nextInt(14_000),
          () -> delivery.deliver(from, address, method, path, body, response -> {}));
      return;
    }
    boolean responseLost =
        lostWriteResponseProbability > 0
            && path.equals("/txn")
            && random.nextDouble() < lostWriteResponseProbability;
    if (delayedWriteProbability > 0
        && path.equals("/txn")
        && random.nextDouble() < delayedWriteProbability) {
      time.schedule(
          2_000L + random.nextInt(10_000),
          () -> delivery.deliver(from, address, method, path, body, response -> {}));
      return;
    }
    if (delayedCloudCallProbability > 0
        && receiver.equals("cloud")
        && method.equals("POST")
        && random.nextDouble() < delayedCloudCallProbability) {
      time.schedule(
          4_000L + random.nextInt(56_000),
          () -> delivery.deliver(from, address, method, path, body, response -> {}));
      return;
    }
    long delayMs = 1L + random.nextInt(10);
    if (maxStateServiceDelayMs > 0 && receiver.equals("state")) {
      delayMs += random.nextInt((int) maxStateServiceDelayMs);
    }
    if (maxHeartbeatDelayMs > 0 && path.equals("/hello")) {
      delayMs += random.nextInt((int) maxHeartbeatDelayMs);
    }
    if (random.nextDouble() < delayProbability) {
      delayMs += random.nextInt(30_000);
    }
    time.schedule(
        delayMs,
        () ->
            delivery.deliver(
                from,
                address,
                method,
                path,
                body,
                response -> {
                  if (!blockedLinks.contains(receiver + ">" + from)
                      && !linkBlocked.test(receiver, from)
                      && !responseLost
                      && random.nextDouble() >= lossProbability) {
                    time.schedule(1 + random.nextInt(10), () -> completeOnce.accept(response));
                  }
                }));
  }

  /** A copy of the last heartbeat of each machine, to be redelivered later. */
  Map<String, byte[]> copyLatestHeartbeats() {
    return new LinkedHashMap<>(latestHeartbeats);
  }

  /** Delivers old heartbeats to every controller and discards the responses. */
  void redeliverHeartbeats(Map<String, byte[]> heartbeats) {
    heartbeats.forEach(
        (machine, heartbeat) -> {
          for (int controllerIndex = 0; controllerIndex < controllerCount; controllerIndex++) {
            deliver(
                machine,
                "n" + controllerIndex + ":80",
                "POST",
                "/hello",
                heartbeat,
                response -> {});
          }
        });
  }

  /** The host of an address "HOST:PORT". */
  static String hostOf(String address) {
    return address.substring(0, address.indexOf(':'));
  }

  /**
   * Delivers a message to its receiver. A stopped controller and a missing machine do not respond.
   */
  void deliver(
      String from,
      String address,
      String method,
      String path,
      byte[] body,
      Consumer<ClientResponse> onResponse) {
    if (address.equals("state:1")) {
      stateService.handle(from, method, path, body, onResponse);
    } else if (address.equals("cloud:1")) {
      handleCloudRequest(path, body, onResponse);
    } else if (path.equals("/commands")) {
      FakeWorker worker = machines.get(hostOf(address));
      if (worker == null) {
        onResponse.accept(ClientResponse.NO_RESPONSE);
      } else {
        worker.handleCommand(parseJson(body), onResponse);
      }
    } else {
      int controllerIndex = address.charAt(1) - '0';
      if (controllers[controllerIndex] == null || eventLoops[controllerIndex].killed()) {
        onResponse.accept(ClientResponse.NO_RESPONSE);
        return;
      }
      VirtualTime.ProcessLoop eventLoop = eventLoops[controllerIndex];
      ServerRequest request =
          new ServerRequest(method, path, Map.of(), body == null ? new byte[0] : body);
      Consumer<ServerResponse> onServerResponse =
          response -> {
            if (!eventLoop.killed()) {
              recorder.responseSent("n" + controllerIndex, from, request, response);
              onResponse.accept(new ClientResponse(response.status(), response.body()));
            }
          };
      Controller controller = controllers[controllerIndex];
      eventLoop.after(
          0,
          () -> {
            if (address.endsWith(":81")) {
              controller.peerEndpoints().handle(request, onServerResponse);
            } else {
              controller.clientEndpoints().handle(request, onServerResponse);
            }
          });
    }
  }

  // ---- cloud

  private void handleCloudRequest(String path, byte[] body, Consumer<ClientResponse> onResponse) {
    ObjectNode out = FakeStateService.JSON.createObjectNode();
    if (path.equals("/machine_types")) {
      ObjectNode machineType = out.putArray("rigs").addObject();
      machineType.put("label", "t4").put("cores", 4.0).put("cards", 0.0).put("ram_gb", 16.0);
      machineType
          .put("cache_gb", 50.0)
          .put("pull_gb_per_s", 1.0)
          .put("rate", 2.0)
          .put("low_price", 1.0);
      machineType.put("ready_s", 5.0).putArray("yards").add("a").add("b");
    } else if (path.startsWith("/hosts/return")) {
      for (JsonNode machineName : parseJson(body).path("trucks")) {
        FakeWorker worker = machines.remove(machineName.asText());
        if (worker != null) {
          scaledInMachines++;
          worker.terminate();
          cloudCapacity++;
        }
      }
    } else if (path.startsWith("/hosts?")) {
      ArrayNode machineList = out.putArray("trucks");
      for (FakeWorker worker : machines.values()) {
        if (listedMachines.contains(worker.name)) {
          machineList
              .addObject()
              .put("uid", worker.name)
              .put("rig", "t4")
              .put("yard", worker.zone)
              .put("standby", worker.spot)
              .put("status", "running")
              .put("age_s", 10.0);
        }
      }
      out.put("has_next", false);
    } else {
      JsonNode scaleOut = parseJson(body);
      String requestName = scaleOut.get("hire").asText();
      if (!machinesByScaleOutRequest.containsKey(requestName)) {
        int machineCount = Math.min(cloudCapacity, scaleOut.get("how_many").asInt());
        if (machineCount == 0) {
          onResponse.accept(
              new ClientResponse(
                  503, "{\"error\":\"no capacity\"}".getBytes(StandardCharsets.UTF_8)));
          return;
        }
        List<String> machineNames = new ArrayList<>();
        for (int i = 0; i < machineCount; i++) {
          machineNames.add(
              bootMachine(scaleOut.get("yard").asText(), scaleOut.get("standby").asBoolean()));
        }
        machinesByScaleOutRequest.put(requestName, machineNames);
      }
      ArrayNode machineList = out.putArray("trucks");
      machinesByScaleOutRequest.get(requestName).forEach(machineList::add);
    }
    onResponse.accept(FakeStateService.jsonResponse(200, out));
  }

  /** Creates a machine and returns its name. Tests also call it without a scale-out request. */
  String bootMachine(String zone, boolean spot) {
    String name = "host-%06d".formatted(nextMachineNumber++);
    FakeWorker worker = new FakeWorker(this, name, zone, spot);
    machines.put(name, worker);
    cloudCapacity--;
    time.schedule(minBootMs + random.nextInt((int) bootJitterMs), worker::start);
    time.schedule(4_000, () -> listedMachines.add(name));
    return name;
  }

  /**
   * Terminates a machine without notice, as the cloud may do; null or a removed machine: no effect.
   */
  void reclaimMachine(FakeWorker worker) {
    if (worker != null && machines.remove(worker.name) != null) {
      worker.terminate();
      cloudCapacity++;
    }
  }

  /** Records that a task has completed; see {@link #usersActAtJobEnd}. */
  void taskCompleted(String task) {
    if (invariantChecker.taskCompleted(task) && usersActAtJobEnd) {
      SimulatedUser user = users.get(InvariantChecker.jobId(task));
      user.cancelsJob |= random.nextInt(3) == 0;
      for (int i = 0; i < 6; i++) {
        Runnable userAction =
            i % 3 == 0 ? user::submit : i % 3 == 1 || !user.cancelsJob ? user::poll : user::cancel;
        time.schedule(random.nextInt(1_500), userAction);
      }
    }
  }

  long taskRunMs(String task) {
    return taskRunTimeMs.applyAsLong(task);
  }

  static int taskIndex(String task) {
    return Integer.parseInt(task.substring(task.indexOf('/') + 1));
  }

  private long defaultTaskRunMs(String task) {
    return additionalRunMs
        + taskIndex(task) * runTimeStepMs
        + 2_000
        + Math.floorMod(task.hashCode(), 9_000);
  }

  /**
   * Cancels up to {@code count} jobs that have tasks on machines.
   *
   * @param avoidedController name of a controller that gets none of the cancellations; null: none
   * @return the machines of the cancelled jobs
   */
  List<FakeWorker> cancelRunningJobs(int count, String avoidedController) {
    List<FakeWorker> affectedMachines = new ArrayList<>();
    int remaining = count;
    for (SimulatedUser user : users.values()) {
      List<FakeWorker> machinesOfJob = invariantChecker.machinesOf(user);
      if (remaining > 0
          && !machinesOfJob.isEmpty()
          && !user.cancelsJob
          && !user.lastStatus.equals("done")) {
        remaining--;
        user.cancelsJob = true;
        user.avoidedController = avoidedController;
        user.cancel();
        affectedMachines.addAll(machinesOfJob);
      }
    }
    return affectedMachines;
  }

  /** Ids of the jobs whose cancellation is confirmed and that still have tasks on machines. */
  List<String> cancelledJobsWithTasks() {
    return users.values().stream()
        .filter(user -> user.cancellationConfirmedMs >= 0 && hasTasksOnMachines(user))
        .map(user -> user.jobId)
        .toList();
  }

  boolean alwaysFails(String task) {
    SimulatedUser user = users.get(InvariantChecker.jobId(task));
    return user != null && user.tasksAlwaysFail;
  }

  /** Whether the machine exists and is in the zone. */
  boolean isInZone(String name, String zone) {
    FakeWorker machine = machines.get(name);
    return machine != null && machine.zone.equals(zone);
  }

  /** The name of the controller that leads the shard; null if none does. */
  String leaderOf(int shard) {
    JsonNode claim = stateService.value("w/c/" + shard);
    return claim == null ? null : claim.path("owner").asText();
  }

  /**
   * Queries a job that was never submitted, every 7 s. The status 200 is the violation "invented".
   */
  void queryUnknownJob() {
    sendRequest(
        "users",
        "n" + random.nextInt(controllerCount) + ":80",
        "GET",
        "/v1/jobs/wk-999999",
        null,
        2_000,
        response -> {
          if (response.status() == 200) {
            invariantChecker.addViolation("invented");
          }
          time.schedule(7_000, this::queryUnknownJob);
        });
  }

  /** The state of the state service, the machines, the cloud and the users, without controllers. */
  ObjectNode save() {
    ObjectNode savedState =
        FakeStateService.JSON
            .createObjectNode()
            .put("now_ms", time.nowMs())
            .put("capacity", cloudCapacity)
            .put("next_machine", nextMachineNumber);
    savedState.set("store", stateService.save());
    ArrayNode savedMachines = savedState.putArray("machines");
    machines
        .values()
        .forEach(
            worker ->
                savedMachines.add(
                    worker.save().put("listed", listedMachines.contains(worker.name))));
    ObjectNode scaleOutRequests = savedState.putObject("rented");
    new TreeMap<>(machinesByScaleOutRequest)
        .forEach(
            (requestName, machineNames) ->
                machineNames.forEach(scaleOutRequests.putArray(requestName)::add));
    ArrayNode savedUsers = savedState.putArray("users");
    users.values().stream()
        .filter(user -> user.firstSubmittedMs >= 0)
        .forEach(user -> savedUsers.add(user.save()));
    invariantChecker.completedTasks().forEach(savedState.putArray("finished")::add);
    return savedState;
  }

  /**
   * Restores a saved state and sets the virtual time to the time of saving. The caller then starts
   * the controllers.
   */
  void load(JsonNode saved) {
    time.runUntil(saved.get("now_ms").asLong());
    cloudCapacity = saved.get("capacity").asInt();
    nextMachineNumber = saved.get("next_machine").asInt();
    saved.get("users").forEach(savedUser -> SimulatedUser.load(this, savedUser));
    saved.get("finished").forEach(task -> invariantChecker.addCompletedTask(task.asText()));
    saved
        .get("rented")
        .properties()
        .forEach(
            request -> {
              List<String> machineNames = new ArrayList<>();
              request.getValue().forEach(name -> machineNames.add(name.asText()));
              machinesByScaleOutRequest.put(request.getKey(), machineNames);
            });
    for (JsonNode savedMachine : saved.get("machines")) {
      String name = savedMachine.get("machine").asText();
      FakeWorker worker =
          new FakeWorker(
              this, name, savedMachine.get("zone").asText(), savedMachine.get("spot").asBoolean());
      machines.put(name, worker);
      if (savedMachine.get("listed").asBoolean()) {
        listedMachines.add(name);
      } else {
        time.schedule(4_000, () -> listedMachines.add(name));
      }
      worker.load(savedMachine);
    }
    stateService.load(saved.get("store"));
    time.schedule(5_000, this::queryUnknownJob);
    time.schedule(5_000, invariantChecker::checkWaitingJobs);
  }

  /** Starts all controllers and users, see {@link #startUsers}. */
  void start(int jobCount, long spanMs) {
    for (int controllerIndex = 0; controllerIndex < controllerCount; controllerIndex++) {
      startController(controllerIndex);
    }
    startUsers(jobCount, spanMs);
  }

  /**
   * Submits the jobs after 3 s plus a random delay below {@code spanMs} each, and begins to check
   * the invariants on waiting jobs and unknown jobs.
   */
  void startUsers(int jobCount, long spanMs) {
    for (int jobNumber = 0; jobNumber < jobCount; jobNumber++) {
      String zone = jobNumber % 5 == 0 ? "b" : null;
      SimulatedUser user =
          new SimulatedUser(
              this,
              jobNumber,
              1 + random.nextInt(maxTasksPerJob),
              zone,
              jobNumber % 7 != 0,
              jobNumber % 6 == 5);
      user.together = jobNumber % 8 == 3;
      user.spread = jobNumber % 8 == 6 && zone == null;
      time.schedule(3_000 + random.nextInt((int) spanMs), user::submit);
    }
    time.schedule(5_000, this::queryUnknownJob);
    time.schedule(5_000, invariantChecker::checkWaitingJobs);
  }

  /**
   * Jobs whose last known status is not final, or that are cancelled and still have tasks on
   * machines, as "JOB STATUS".
   */
  List<String> unfinishedJobs() {
    List<String> jobs = new ArrayList<>();
    for (SimulatedUser user : users.values()) {
      boolean finished = user.lastStatus.equals("done") || user.lastStatus.equals("aborted");
      if (!finished || (user.lastStatus.equals("aborted") && hasTasksOnMachines(user))) {
        jobs.add(user.jobId + " " + user.lastStatus);
      }
    }
    return jobs;
  }

  private boolean hasTasksOnMachines(SimulatedUser user) {
    return !invariantChecker.machinesOf(user).isEmpty();
  }
}
