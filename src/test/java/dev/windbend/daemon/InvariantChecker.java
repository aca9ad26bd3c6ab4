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
  static final long FORGOTTEN_MS = 75_000;
  static final long WAITING_MS = 90_000;

  /** A start in an answer that is under way can't be called back: that is 4 s, and the fetch. */
  static final long UNDER_WAY_MS = 4_300;

  private static final double MACHINE_CORES = SimulatedCluster.MACHINE_CORES;

  final List<String> violations = new ArrayList<>();

  /** Each start of a task, in order. */
  final List<String> starts = new ArrayList<>();

  /** From then on every question must be answered within 75 s. */
  long calmFromMs = Long.MAX_VALUE;

  private final SimulatedCluster cluster;
  private final Map<String, Set<FakeWorker>> on = new HashMap<>();
  private final Set<String> finished = new HashSet<>();

  InvariantChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void broken(String what) {
    violations.add(cluster.time.nowMs() + " " + what);
  }

  /** A task that ran before the simulation began. */
  void runsAlready(String drop, FakeWorker w) {
    if (!on.computeIfAbsent(drop, k -> new HashSet<>()).add(w) || on.get(drop).size() > 1) {
      broken("ran_twice: " + drop + " from the beginning");
    }
  }

  /** A task that had completed before the simulation began. */
  void finishedAlready(String drop) {
    finished.add(drop);
  }

  /** Tasks that have completed, in order of their names. */
  List<String> finished() {
    return finished.stream().sorted().toList();
  }

  static String uid(String drop) {
    return drop.substring(0, drop.indexOf('/'));
  }

  /**
   * @param hungMs for how long the machine hung between taking the start and beginning the task: no
   *     controller can call that start back, as the machine hears nothing
   */
  void started(String drop, FakeWorker w, long hungMs) {
    SimulatedUser u = cluster.users.get(uid(drop));
    Set<FakeWorker> places = on.computeIfAbsent(drop, k -> new HashSet<>());
    if (!places.isEmpty()) {
      broken("ran_twice: " + drop);
    }
    places.add(w);
    starts.add(drop);
    if (u == null || u.firstSentMs < 0) {
      broken("unknown task " + drop);
      return;
    }
    if (u.begunMs < 0) {
      u.begunMs = cluster.time.nowMs();
    }
    if (u.toldCancelledMs >= 0) {
      if (cluster.time.nowMs() > u.toldCancelledMs + UNDER_WAY_MS + hungMs) {
        broken("started after its cancellation was confirmed: " + drop);
      }
      if (cluster.time.nowMs() > u.toldCancelledMs + SimulatedCluster.CANCEL_MS) {
        broken("ran_cancelled: " + drop);
      }
    }
    if ((u.zone != null && !u.zone.equals(w.zone)) || (w.spot && !u.spot)) {
      broken("wrong_place: " + drop + " on " + w.name);
    }
    Map<String, Integer> zones = zonesOf(u);
    if (u.together && zones.size() > 1) {
      broken("wrong_place: " + drop + " apart from the others of its job");
    }
    if (u.spread && zones.get(w.zone) > (u.tasks + 1) / 2) {
      broken("wrong_place: " + drop + " makes too many in zone " + w.zone);
    }
    if (used(u.team) > limit(u.team) + 1e-6) {
      broken("quota: " + u.team + " uses " + used(u.team));
    }
  }

  /** How many tasks of a job are on machines of each zone. */
  private Map<String, Integer> zonesOf(SimulatedUser u) {
    Map<String, Integer> zones = new HashMap<>();
    for (Map.Entry<String, Set<FakeWorker>> e : on.entrySet()) {
      if (uid(e.getKey()).equals(u.uid)) {
        e.getValue().forEach(w -> zones.merge(w.zone, 1, Integer::sum));
      }
    }
    return zones;
  }

  private double cores(String drop) {
    SimulatedUser u = cluster.users.get(uid(drop));
    return u == null ? 0 : u.cores;
  }

  private double limit(String team) {
    return team.equals("guests") ? Double.POSITIVE_INFINITY : cluster.teamCores;
  }

  private double used(String team) {
    double used = 0;
    for (Map.Entry<String, Set<FakeWorker>> e : on.entrySet()) {
      SimulatedUser o = cluster.users.get(uid(e.getKey()));
      if (!e.getValue().isEmpty() && o != null && o.team.equals(team)) {
        used += o.cores;
      }
    }
    return used;
  }

  /**
   * Once all troubles are over, no job is left waiting for 90 s while a machine that fits has room
   * and its team is under its limit.
   */
  void judgeWaiting() {
    Map<String, Double> free = new HashMap<>();
    for (FakeWorker m : cluster.machines.values()) {
      free.put(m.name, m.up && !m.hung && m.recallS == null ? MACHINE_CORES : 0);
    }
    for (Map.Entry<String, Set<FakeWorker>> e : on.entrySet()) {
      e.getValue().forEach(m -> free.merge(m.name, -cores(e.getKey()), Double::sum));
    }
    for (SimulatedUser u : cluster.users.values()) {
      boolean accepted = !u.told.isEmpty() && !u.cancels && !u.told.equals("done");
      Map<String, Integer> zones = accepted ? zonesOf(u) : Map.of();
      boolean left = false;
      for (int i = 0; accepted && i < u.tasks; i++) {
        String drop = u.uid + "/" + i;
        left |= !finished.contains(drop) && on.getOrDefault(drop, Set.of()).isEmpty();
      }
      FakeWorker room =
          left && used(u.team) + u.cores <= limit(u.team)
              ? cluster.machines.values().stream()
                  .filter(m -> free.get(m.name) >= u.cores && mayRunOn(u, m, zones))
                  .findFirst()
                  .orElse(null)
              : null;
      if (room == null || cluster.time.nowMs() < calmFromMs) {
        u.couldStartMs = cluster.time.nowMs();
      } else if (cluster.time.nowMs() - u.couldStartMs > WAITING_MS) {
        broken("waits: " + u.uid + " while " + room.name + " has room");
        u.couldStartMs = cluster.time.nowMs();
      }
    }
    cluster.time.at(1_000, this::judgeWaiting);
  }

  void left(String drop, FakeWorker w) {
    on.get(drop).remove(w);
    SimulatedUser u = cluster.users.get(uid(drop));
    if (u != null
        && u.toldCancelledMs >= 0
        && cluster.time.nowMs() > u.toldCancelledMs + SimulatedCluster.CANCEL_MS) {
      broken("ran_cancelled: " + drop + " left late");
    }
  }

  private static boolean mayRunOn(SimulatedUser u, FakeWorker m, Map<String, Integer> zones) {
    return (u.zone == null || u.zone.equals(m.zone))
        && (u.spot || !m.spot)
        && (!u.together || zones.isEmpty() || zones.containsKey(m.zone))
        && (!u.spread || zones.getOrDefault(m.zone, 0) < (u.tasks + 1) / 2);
  }

  /** A task has completed; whether it was the last of its job. */
  boolean completed(String drop) {
    finished.add(drop);
    SimulatedUser u = cluster.users.get(uid(drop));
    if (u == null) {
      return false;
    }
    u.couldStartMs = cluster.time.nowMs();
    boolean last = true;
    for (int i = 0; i < u.tasks; i++) {
      last &= finished.contains(uid(drop) + "/" + i);
    }
    return last;
  }

  boolean isFinished(String drop) {
    return finished.contains(drop);
  }

  /** The machines that a user's tasks are on, by name. */
  List<FakeWorker> machinesOf(SimulatedUser u) {
    return on.entrySet().stream()
        .filter(e -> uid(e.getKey()).equals(u.uid))
        .flatMap(e -> e.getValue().stream())
        .distinct()
        .sorted(Comparator.comparing(m -> m.name))
        .toList();
  }
}
