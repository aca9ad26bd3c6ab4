package dev.windbend.daemon;

import java.util.List;

/** Faults for the scenarios in virtual time. All durations are in ms. */
final class FaultInjection {
  private FaultInjection() {}

  /**
   * Injects a fault several times.
   *
   * @param fromMs delay from now to the first time
   */
  static void repeat(
      SimulatedCluster cluster, long fromMs, long intervalMs, int times, Runnable fault) {
    for (int i = 0; i < times; i++) {
      cluster.time.schedule(fromMs + i * intervalMs, fault);
    }
  }

  /** Returns null if there are no machines. */
  static FakeWorker randomMachine(SimulatedCluster cluster) {
    List<FakeWorker> machines = List.copyOf(cluster.machines.values());
    return machines.isEmpty() ? null : machines.get(cluster.random.nextInt(machines.size()));
  }

  /** Hangs the worker of a random machine, which then sends and executes nothing for this time. */
  static void hangRandomMachine(SimulatedCluster cluster, long durationMs) {
    FakeWorker machine = randomMachine(cluster);
    if (machine != null) {
      machine.hung = true;
      cluster.time.schedule(durationMs, () -> machine.hung = false);
    }
  }

  static void stateServiceOutage(SimulatedCluster cluster, long durationMs) {
    cluster.stateService.outage = true;
    cluster.time.schedule(durationMs, cluster.stateService::endOutage);
  }

  static void crashControllers(
      SimulatedCluster cluster, long restartDelayMs, int... controllerIndexes) {
    for (int controllerIndex : controllerIndexes) {
      cluster.killController(controllerIndex, restartDelayMs);
    }
  }

  /** Blocks the links between a host and each of the other hosts in both directions. */
  static void blockLinks(SimulatedCluster cluster, String host, Iterable<String> otherHosts) {
    for (String otherHost : otherHosts) {
      cluster.blockedLinks.add(host + ">" + otherHost);
      cluster.blockedLinks.add(otherHost + ">" + host);
    }
  }

  /**
   * Makes a machine unresponsive: its heartbeats arrive, but it gets no response and no command of
   * the first three controllers. Null: no effect.
   */
  static void blockResponsesTo(SimulatedCluster cluster, FakeWorker machine) {
    for (int controllerIndex = 0; machine != null && controllerIndex < 3; controllerIndex++) {
      cluster.blockedLinks.add("n" + controllerIndex + ">" + machine.name);
    }
  }
}
