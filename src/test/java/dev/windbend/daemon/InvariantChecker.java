package dev.windbend.daemon;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Judges what happens by the protocol's rules and by what operators count at a day's end. It sees
 * the machines and the users, not the nodes.
 */
final class InvariantChecker {
  static final long MAX_UNANSWERED_MS = 75_000;
  static final long MAX_WAITING_MS = 90_000;

  /** A start in an answer that is under way can't be called back: that is 4 s, and the fetch. */
  static final long MAX_START_IN_FLIGHT_MS = 4_300;

  private static final double MACHINE_CORES = SimulatedCluster.MACHINE_CORES;

  final List<String> violations = new ArrayList<>();

  /** Each start of a task, in order. */
  final List<String> startedTasks = new ArrayList<>();

  /** From then on every question must be answered within 75 s. */
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

  /** A task that ran before the simulation began. */
  void addRunningTask(String task, FakeWorker worker) {
    if (!machinesByTask.computeIfAbsent(task, k -> new HashSet<>()).add(worker)
        || machinesByTask.get(task).size() > 1) {
      addViolation("ran_twice: " + task + " from the beginning");
    }
  }

  /** A task that had completed before the simulation began. */
  void addCompletedTask(String task) {
    completedTasks.add(task);
  }

  /** Tasks that have completed, in order of their names. */
  List<String> completedTasks() {
    return completedTasks.stream().sorted().toList();
  }

  static String jobId(String task) {
    return task.substring(0, task.indexOf('/'));
  }

  /**
   * @param hungMs for how long the machine hung between taking the start and beginning the task: no
   *     controller can call that start back, as the machine hears nothing
   */
  void taskStarted(String task, FakeWorker worker, long hungMs) {
    SimulatedUser user = cluster.users.get(jobId(task));
    Set<FakeWorker> machines = machinesByTask.computeIfAbsent(task, k -> new HashSet<>());
    if (!machines.isEmpty()) {
      addViolation("ran_twice: " + task);
    }
    machines.add(worker);
    startedTasks.add(task);
    if (user == null || user.firstSubmittedMs < 0) {
      addViolation("unknown task " + task);
      return;
    }
    if (user.firstTaskStartedMs < 0) {
      user.firstTaskStartedMs = cluster.time.nowMs();
    }
    if (user.cancellationConfirmedMs >= 0) {
      if (cluster.time.nowMs() > user.cancellationConfirmedMs + MAX_START_IN_FLIGHT_MS + hungMs) {
        addViolation("started after its cancellation was confirmed: " + task);
      }
      if (cluster.time.nowMs()
          > user.cancellationConfirmedMs + SimulatedCluster.MAX_CANCELLATION_MS) {
        addViolation("ran_cancelled: " + task);
      }
    }
    if ((user.zone != null && !user.zone.equals(worker.zone)) || (worker.spot && !user.spot)) {
      addViolation("wrong_place: " + task + " on " + worker.name);
    }
    Map<String, Integer> zones = taskCountByZone(user);
    if (user.together && zones.size() > 1) {
      addViolation("wrong_place: " + task + " apart from the others of its job");
    }
    if (user.spread && zones.get(worker.zone) > (user.taskCount + 1) / 2) {
      addViolation("wrong_place: " + task + " makes too many in zone " + worker.zone);
    }
    if (usedCoresOf(user.team) > maxCoresOf(user.team) + 1e-6) {
      addViolation("quota: " + user.team + " uses " + usedCoresOf(user.team));
    }
  }

  /** How many tasks of a job are on machines of each zone. */
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
   * Once all troubles are over, no job is left waiting for 90 s while a machine that fits has room
   * and its team is under its limit.
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
        addViolation("waits: " + user.jobId + " while " + suitableMachine.name + " has room");
        user.startableSinceMs = cluster.time.nowMs();
      }
    }
    cluster.time.schedule(1_000, this::checkWaitingJobs);
  }

  void taskStopped(String task, FakeWorker worker) {
    machinesByTask.get(task).remove(worker);
    SimulatedUser user = cluster.users.get(jobId(task));
    if (user != null
        && user.cancellationConfirmedMs >= 0
        && cluster.time.nowMs()
            > user.cancellationConfirmedMs + SimulatedCluster.MAX_CANCELLATION_MS) {
      addViolation("ran_cancelled: " + task + " left late");
    }
  }

  private static boolean mayRunOn(
      SimulatedUser user, FakeWorker machine, Map<String, Integer> zones) {
    return (user.zone == null || user.zone.equals(machine.zone))
        && (user.spot || !machine.spot)
        && (!user.together || zones.isEmpty() || zones.containsKey(machine.zone))
        && (!user.spread || zones.getOrDefault(machine.zone, 0) < (user.taskCount + 1) / 2);
  }

  /** A task has completed; whether it was the last of its job. */
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

  /** The machines that a user's tasks are on, by name. */
  List<FakeWorker> machinesOf(SimulatedUser user) {
    return machinesByTask.entrySet().stream()
        .filter(entry -> jobId(entry.getKey()).equals(user.jobId))
        .flatMap(entry -> entry.getValue().stream())
        .distinct()
        .sorted(Comparator.comparing(machine -> machine.name))
        .toList();
  }
}
