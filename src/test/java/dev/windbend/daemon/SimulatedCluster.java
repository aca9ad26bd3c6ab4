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

/** Some nodes, stand-ins for all they talk to, users, and the rules, all in virtual time. */
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

  /** Takes a message that is not lost to its receiver. */
  interface Delivery {
    void deliver(
        String from,
        String address,
        String method,
        String path,
        byte[] body,
        Consumer<ClientResponse> onResponse);
  }

  /** How messages of workers and users reach the nodes. */
  Delivery delivery = this::deliver;

  /** Sees all that the nodes send; changes nothing. */
  MessageRecorder recorder = MessageRecorder.NONE;

  /** What each team but the guests may use at most. */
  double teamMaxCores = DEFAULT_TEAM_MAX_CORES;

  /** The operators' settings of all nodes. */
  Policy policy = OperatorSettings.defaults();

  /** Machines that nodes have given back. */
  int scaledInMachines;

  /** Chances that a message is lost, answered but unheard, or comes late. */
  double lossProbability = 0.002;

  double delayProbability = 0.002;

  /**
   * Chance that a change of the state service gets no answer and is carried out 2 to 12 s later.
   */
  double delayedWriteProbability;

  /** Chance that a change of the state service is carried out at once and its answer is lost. */
  double lostWriteResponseProbability;

  /** Chance that a direct command is held up, unanswered, and carried out 2 to 16 s later. */
  double delayedCommandProbability;

  /** Users look at all nodes within milliseconds after a job was accepted, ended or cancelled. */
  boolean usersQueryAllControllers;

  /** A new machine is up after this time at least, and up to as much more. */
  long minBootMs = 3_000;

  long bootJitterMs = 4_000;

  /** The newest report of each machine; kept of those that are gone, too. */
  private final Map<String, byte[]> latestHeartbeats = new LinkedHashMap<>();

  /** The state service takes up to so much longer for each request. */
  long maxStateServiceDelayMs;

  /** A message between a worker and a node takes up to so much longer. */
  long maxHeartbeatDelayMs;

  /** An end of a job's last task is met by its user's cancellation, question and repetition. */
  boolean usersActAtJobEnd;

  /** Direct commands get lost. */
  boolean dropCommands;

  /** Machines that can open no connection to any node. */
  final Set<String> machinesWithBlockedRequests = new HashSet<>();

  /** Chance that a copy of a report comes once more to any node, up to so much later. */
  double duplicateHeartbeatProbability;

  long maxDuplicateDelayMs = 45_000;

  /** Every task runs for so much longer than the least. */
  long additionalRunMs;

  /** Each task of a job runs for so much longer than the one before. */
  long runTimeStepMs;

  /** How long a task runs. */
  ToLongFunction<String> taskRunTimeMs = this::defaultTaskRunMs;

  /** Jobs have so many tasks at most. */
  int maxTasksPerJob = 12;

  /** Nobody cancels a job before this time. */
  long earliestCancellationMs;

  /** Machines whose lease ended with tasks on them. */
  int expiredLeasesWithTasks;

  /** Pairs "a>b" that can't talk: sends hang. */
  final Set<String> blockedLinks = new HashSet<>();

  /** Whether messages from one to another are lost, beside the pairs that can't talk. */
  BiPredicate<String, String> linkBlocked = (from, to) -> false;

  /** Pairs "a>b" where connections are refused at once. */
  final Set<String> refusedLinks = new HashSet<>();

  /** How much later each of a node's events happens. */
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

  // ---- nodes

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

  void killController(int controllerIndex, long restartDelayMs) {
    if (controllers[controllerIndex] == null) {
      return;
    }
    eventLoops[controllerIndex].kill();
    controllers[controllerIndex] = null;
    time.schedule(restartDelayMs, () -> startController(controllerIndex));
  }

  void pauseController(int controllerIndex, long durationMs) {
    if (eventLoops[controllerIndex] != null) {
      eventLoops[controllerIndex].pause(durationMs);
    }
  }

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

  JsonNode parseJson(byte[] body) {
    try {
      return FakeStateService.JSON.readTree(body);
    } catch (java.io.IOException e) {
      return FakeStateService.JSON.createObjectNode();
    }
  }

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
          if (senderLoop == null) {
            onResponse.accept(response);
          } else {
            senderLoop.run(() -> onResponse.accept(response));
          }
        };
    time.schedule(timeoutMs, () -> completeOnce.accept(ClientResponse.NO_RESPONSE));
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
      // A late copy: nobody waits for its answer.
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

  /** What the machines reported last, to be delivered later. */
  Map<String, byte[]> copyLatestHeartbeats() {
    return new LinkedHashMap<>(latestHeartbeats);
  }

  /** Old reports reach every node; nobody waits for the answers. */
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

  static String hostOf(String address) {
    return address.substring(0, address.indexOf(':'));
  }

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
        int machineName = Math.min(cloudCapacity, scaleOut.get("how_many").asInt());
        if (machineName == 0) {
          onResponse.accept(
              new ClientResponse(
                  503, "{\"error\":\"no capacity\"}".getBytes(StandardCharsets.UTF_8)));
          return;
        }
        List<String> machineNames = new ArrayList<>();
        for (int i = 0; i < machineName; i++) {
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

  /** A new machine; also one that nobody asked for. */
  String bootMachine(String zone, boolean spot) {
    String name = "host-%06d".formatted(nextMachineNumber++);
    FakeWorker worker = new FakeWorker(this, name, zone, spot);
    machines.put(name, worker);
    cloudCapacity--;
    time.schedule(minBootMs + random.nextInt((int) bootJitterMs), worker::start);
    time.schedule(4_000, () -> listedMachines.add(name));
    return name;
  }

  /** The cloud takes a machine without notice. */
  void reclaimMachine(FakeWorker worker) {
    if (worker != null && machines.remove(worker.name) != null) {
      worker.terminate();
      cloudCapacity++;
    }
  }

  /** A task has completed; the end of a job may be met by its user. */
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

  /** Users call off so many jobs that run, through any node but one; their tasks' machines. */
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

  /** Jobs told to be cancelled that still have tasks on machines. */
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

  boolean isInZone(String name, String zone) {
    FakeWorker machine = machines.get(name);
    return machine != null && machine.zone.equals(zone);
  }

  /** The node that holds a shard's claim; null: none does. */
  String leaderOf(int shard) {
    JsonNode claim = stateService.value("w/c/" + shard);
    return claim == null ? null : claim.path("owner").asText();
  }

  /** Asks about a job that nobody has submitted. */
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

  /** All but the nodes: what the state service, the machines, the cloud and the users hold. */
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

  /** Goes on from what was saved, at the same time of day; the nodes are to be started. */
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

  void start(int jobCount, long spanMs) {
    for (int controllerIndex = 0; controllerIndex < controllerCount; controllerIndex++) {
      startController(controllerIndex);
    }
    startUsers(jobCount, spanMs);
  }

  /** Jobs come within a span of time, and are asked about. */
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
