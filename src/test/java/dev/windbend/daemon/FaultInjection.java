package dev.windbend.daemon;

import java.util.List;

/** Troubles of a day in virtual time, as the tables of days name them. */
final class FaultInjection {
  private FaultInjection() {}

  static void each(SimulatedCluster w, long fromMs, long everyMs, int times, Runnable what) {
    for (int i = 0; i < times; i++) {
      w.time.at(fromMs + i * everyMs, what);
    }
  }

  static FakeWorker any(SimulatedCluster w) {
    List<FakeWorker> all = List.copyOf(w.machines.values());
    return all.isEmpty() ? null : all.get(w.random.nextInt(all.size()));
  }

  static void hang(SimulatedCluster w, long forMs) {
    FakeWorker m = any(w);
    if (m != null) {
      m.hung = true;
      w.time.at(forMs, () -> m.hung = false);
    }
  }

  static void outage(SimulatedCluster w, long forMs) {
    w.store.outage = true;
    w.time.at(forMs, w.store::recover);
  }

  static void crash(SimulatedCluster w, long backMs, int... nodes) {
    for (int i : nodes) {
      w.kill(i, backMs);
    }
  }

  /** Both ways, between one and all others of a list. */
  static void cutOff(SimulatedCluster w, String one, Iterable<String> others) {
    for (String o : others) {
      w.cut.add(one + ">" + o);
      w.cut.add(o + ">" + one);
    }
  }

  /** Its reports arrive, but no answer reaches it. */
  static void deafen(SimulatedCluster w, FakeWorker m) {
    for (int n = 0; m != null && n < 3; n++) {
      w.cut.add("n" + n + ">" + m.name);
    }
  }
}
