package dev.windbend.daemon;

import java.util.List;

/** Troubles of a day in virtual time, as the tables of days name them. */
final class FaultInjection {
  private FaultInjection() {}

  static void repeat(
      SimulatedCluster cluster, long fromMs, long intervalMs, int times, Runnable fault) {
    for (int i = 0; i < times; i++) {
      cluster.time.schedule(fromMs + i * intervalMs, fault);
    }
  }

  static FakeWorker randomMachine(SimulatedCluster cluster) {
    List<FakeWorker> machines = List.copyOf(cluster.machines.values());
    return machines.isEmpty() ? null : machines.get(cluster.random.nextInt(machines.size()));
  }

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

  /** Both ways, between one and all others of a list. */
  static void blockLinks(SimulatedCluster cluster, String host, Iterable<String> otherHosts) {
    for (String otherHost : otherHosts) {
      cluster.blockedLinks.add(host + ">" + otherHost);
      cluster.blockedLinks.add(otherHost + ">" + host);
    }
  }

  /** Its reports arrive, but no answer reaches it. */
  static void blockResponsesTo(SimulatedCluster cluster, FakeWorker machine) {
    for (int controllerIndex = 0; machine != null && controllerIndex < 3; controllerIndex++) {
      cluster.blockedLinks.add("n" + controllerIndex + ">" + machine.name);
    }
  }
}
