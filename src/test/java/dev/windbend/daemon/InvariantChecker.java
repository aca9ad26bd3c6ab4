package dev.windbend.daemon;

import dev.windbend.runtime.ClientResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the invariants of the protocol and the violations that operators count. It observes the
 * machines and the users only, so that it does not depend on the state of the controllers.
 */
final class InvariantChecker {
  /** Maximum time without a response about a job after the end of all faults. */
  static final long MAX_UNANSWERED_MS = 75_000;

  /** Maximum time for which a job may wait after the end of all faults although it could start. */
  static final long MAX_WAITING_MS = 90_000;

  /**
   * Maximum time from the confirmation of a cancellation to the start of a task: a start command in
   * a response in flight cannot be revoked. The response takes up to 4 s, the image pull 0.3 s.
   */
  static final long MAX_START_IN_FLIGHT_MS = 4_300;

  /** Maximum size of a request body and of a line in a response, in bytes. */
  static final int MAX_MESSAGE_BYTES = 65_536;

  private static final double MACHINE_CORES = SimulatedCluster.MACHINE_CORES;

  /** Each as "TIME_MS KIND: DETAILS". */
  final List<String> violations = new ArrayList<>();

  /** The name of the task of each start, in order. */
  final List<String> startedTasks = new ArrayList<>();

  /**
   * Virtual time of the end of all faults; the limits on waiting and on responses apply from then.
   */
  long faultsEndMs = Long.MAX_VALUE;

  private final SimulatedCluster cluster;
  private final Map<String, Set<FakeWorker>> machinesByTask = new HashMap<>();
  private final Set<String> completedTasks = new HashSet<>();

  InvariantChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void addViolation(String violation) {
    violations.add(cluster.time.nowMs() + " " + violation);
  }

  /** Checks the body of a request; false if it is too large, so that its receiver rejects it. */
  boolean checkRequestSize(String from, String path, byte[] body) {
    if (body == null || body.length <= MAX_MESSAGE_BYTES) {
      return true;
    }
    addViolation("oversized: request of " + body.length + " bytes from " + from + " to " + path);
    return false;
  }

  /** Checks the lines of a response to a worker or a user. */
  void checkResponseSize(String to, String path, ClientResponse response) {
    boolean toWorkerOrUser = path.equals("/hello") || to.equals("users");
    if (toWorkerOrUser && isLineOversized(response)) {
      addViolation(
          "oversized: line of " + response.body().length + " bytes to " + to + " from " + path);
    }
  }

  /** Whether a worker drops the response, because one of its lines is too long. */
  static boolean isLineOversized(ClientResponse response) {
    String body = new String(response.body(), StandardCharsets.ISO_8859_1);
    return body.length() > MAX_MESSAGE_BYTES
        && body.lines().anyMatch(line -> line.length() > MAX_MESSAGE_BYTES);
  }

  /** Adds a task that already ran when the simulation began. */
  void addRunningTask(String task, FakeWorker worker) {
    if (!machinesByTask.computeIfAbsent(task, k -> new HashSet<>()).add(worker)
        || machinesByTask.get(task).size() > 1) {
      addViolation("ran_twice: " + task + " runs on two machines in the saved state");
    }
  }

  /** Adds a task that had completed before the simulation began. */
  void addCompletedTask(String task) {
    completedTasks.add(task);
  }

  /** Names of the completed tasks, sorted. */
  List<String> completedTasks() {
    return completedTasks.stream().sorted().toList();
  }

  /** The id of the job of a task. */
  static String jobId(String task) {
    return task.substring(0, task.indexOf('/'));
  }

  /**
   * Records the start of a task and checks that the task may run on this machine.
   *
   * @param hungMs how long the machine hung between receipt of the start command and start of the
   *     task: no controller can revoke the start in this time, as the machine handles no message
   */
  void taskStarted(String task, FakeWorker worker, long hungMs) {
    SimulatedUser user = cluster.users.get(jobId(task));
    Set<FakeWorker> machines = machinesByTask.computeIfAbsent(task, k -> new HashSet<>());
    if (!machines.isEmpty()) {
      addViolation("ran_twice: started while another attempt was running: " + task);
    }
    machines.add(worker);
    startedTasks.add(task);
    if (user == null || user.firstSubmittedMs < 0) {
      addViolation("unknown task started, its job was never submitted: " + task);
      return;
    }
    if (user.firstTaskStartedMs < 0) {
      user.firstTaskStartedMs = cluster.time.nowMs();
    }
    if (user.cancellationConfirmedMs >= 0) {
      if (cluster.time.nowMs() > user.cancellationConfirmedMs + MAX_START_IN_FLIGHT_MS + hungMs) {
        addViolation("started after the cancellation of its job was confirmed: " + task);
      }
      if (cluster.time.nowMs()
          > user.cancellationConfirmedMs + SimulatedCluster.MAX_CANCELLATION_MS) {
        addViolation("ran_cancelled: started after the time limit of the cancellation: " + task);
      }
    }
    if ((user.zone != null && !user.zone.equals(worker.zone)) || (worker.spot && !user.spot)) {
      addViolation("wrong_place: " + task + " started on excluded machine " + worker.name);
    }
    Map<String, Integer> zones = taskCountByZone(user);
    if (user.together && zones.size() > 1) {
      addViolation(
          "wrong_place: " + task + " started in another zone than the running tasks of its job");
    }
    if (user.spread && zones.get(worker.zone) > (user.taskCount + 1) / 2) {
      addViolation(
          "wrong_place: " + task + " exceeds half of the tasks of its job in zone " + worker.zone);
    }
    if (usedCoresOf(user.team) > maxCoresOf(user.team) + 1e-6) {
      addViolation(
          "quota: cores in use exceed the limit of team "
              + user.team
              + ": "
              + usedCoresOf(user.team));
    }
  }

  /** The number of running tasks of a job in each zone. */
  private Map<String, Integer> taskCountByZone(SimulatedUser user) {
    Map<String, Integer> zones = new HashMap<>();
    for (Map.Entry<String, Set<FakeWorker>> entry : machinesByTask.entrySet()) {
      if (jobId(entry.getKey()).equals(user.jobId)) {
        entry.getValue().forEach(machine -> zones.merge(machine.zone, 1, Integer::sum));
      }
    }
    return zones;
  }

  private double coresOf(String task) {
    SimulatedUser user = cluster.users.get(jobId(task));
    return user == null ? 0 : user.coresPerTask;
  }

  private double maxCoresOf(String team) {
    return team.equals("guests") ? Double.POSITIVE_INFINITY : cluster.teamMaxCores;
  }

  private double usedCoresOf(String team) {
    double used = 0;
    for (Map.Entry<String, Set<FakeWorker>> entry : machinesByTask.entrySet()) {
      SimulatedUser user = cluster.users.get(jobId(entry.getKey()));
      if (!entry.getValue().isEmpty() && user != null && user.team.equals(team)) {
        used += user.coresPerTask;
      }
    }
    return used;
  }

  /**
   * Checks each second that, after the end of all faults, no job waits for more than 90 s while a
   * suitable machine has enough free cores and the team is below its limit.
   */
  void checkWaitingJobs() {
    Map<String, Double> free = new HashMap<>();
    for (FakeWorker machine : cluster.machines.values()) {
      free.put(
          machine.name,
          machine.started && !machine.hung && machine.reclaimInSeconds == null ? MACHINE_CORES : 0);
    }
    for (Map.Entry<String, Set<FakeWorker>> entry : machinesByTask.entrySet()) {
      entry
          .getValue()
          .forEach(machine -> free.merge(machine.name, -coresOf(entry.getKey()), Double::sum));
    }
    for (SimulatedUser user : cluster.users.values()) {
      boolean accepted =
          !user.lastStatus.isEmpty() && !user.cancelsJob && !user.lastStatus.equals("done");
      Map<String, Integer> zones = accepted ? taskCountByZone(user) : Map.of();
      boolean hasWaitingTask = false;
      for (int taskIndex = 0; accepted && taskIndex < user.taskCount; taskIndex++) {
        String task = user.jobId + "/" + taskIndex;
        hasWaitingTask |=
            !completedTasks.contains(task) && machinesByTask.getOrDefault(task, Set.of()).isEmpty();
      }
      FakeWorker suitableMachine =
          hasWaitingTask && usedCoresOf(user.team) + user.coresPerTask <= maxCoresOf(user.team)
              ? cluster.machines.values().stream()
                  .filter(
                      machine ->
                          free.get(machine.name) >= user.coresPerTask
                              && mayRunOn(user, machine, zones))
                  .findFirst()
                  .orElse(null)
              : null;
      if (suitableMachine == null || cluster.time.nowMs() < faultsEndMs) {
        user.startableSinceMs = cluster.time.nowMs();
      } else if (cluster.time.nowMs() - user.startableSinceMs > MAX_WAITING_MS) {
        addViolation(
            "waits: "
                + user.jobId
                + " has a waiting task although "
                + suitableMachine.name
                + " has enough free cores");
        user.startableSinceMs = cluster.time.nowMs();
      }
    }
    cluster.time.schedule(1_000, this::checkWaitingJobs);
  }

  /** Records that a task has stopped and checks that a task of a cancelled job stops in time. */
  void taskStopped(String task, FakeWorker worker) {
    machinesByTask.get(task).remove(worker);
    SimulatedUser user = cluster.users.get(jobId(task));
    if (user != null
        && user.cancellationConfirmedMs >= 0
        && cluster.time.nowMs()
            > user.cancellationConfirmedMs + SimulatedCluster.MAX_CANCELLATION_MS) {
      addViolation("ran_cancelled: " + task + " stopped after the time limit of the cancellation");
    }
  }

  private static boolean mayRunOn(
      SimulatedUser user, FakeWorker machine, Map<String, Integer> zones) {
    return (user.zone == null || user.zone.equals(machine.zone))
        && (user.spot || !machine.spot)
        && (!user.together || zones.isEmpty() || zones.containsKey(machine.zone))
        && (!user.spread || zones.getOrDefault(machine.zone, 0) < (user.taskCount + 1) / 2);
  }

  /** Adds a completed task and returns whether all tasks of its job are completed. */
  boolean taskCompleted(String task) {
    completedTasks.add(task);
    SimulatedUser user = cluster.users.get(jobId(task));
    if (user == null) {
      return false;
    }
    user.startableSinceMs = cluster.time.nowMs();
    boolean jobCompleted = true;
    for (int taskIndex = 0; taskIndex < user.taskCount; taskIndex++) {
      jobCompleted &= completedTasks.contains(jobId(task) + "/" + taskIndex);
    }
    return jobCompleted;
  }

  boolean isCompleted(String task) {
    return completedTasks.contains(task);
  }

  /** The machines on which tasks of the user's job run, sorted by name. */
  List<FakeWorker> machinesOf(SimulatedUser user) {
    return machinesByTask.entrySet().stream()
        .filter(entry -> jobId(entry.getKey()).equals(user.jobId))
        .flatMap(entry -> entry.getValue().stream())
        .distinct()
        .sorted(Comparator.comparing(machine -> machine.name))
        .toList();
  }
}
