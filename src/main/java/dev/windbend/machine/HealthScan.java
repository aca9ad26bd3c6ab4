package dev.windbend.machine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.function.IntPredicate;

/** Finds how the machines of a shard stand; changes nothing. */
final class HealthScan {
  /** The cloud may take a machine away so much later than it said. */
  private static final long RECALL_SLACK_MS = 1_000;

  /** A machine may boot for so many times what its type takes. */
  private static final double BOOT_PATIENCE = 2.5;

  /** For less the cloud charges all the same, so a machine that boots has so long at least. */
  private static final long SHORTEST_CHARGE_MS = 60_000;

  /** One lost response alone says nothing. */
  private static final int UNRESPONSIVE_MISSED_RESPONSES = 2;

  private final HealthThresholds thresholds;
  private final int zones;

  HealthScan(HealthThresholds thresholds, int zones) {
    this.thresholds = thresholds;
    this.zones = zones;
  }

  /** See {@link MachineHealth#condition}. */
  MachineHealth.Condition condition(Machine machine, long nowMs, long sureSinceMs) {
    if (machine.lastHeartbeatMs() < 0) {
      // An inherited one has had its time to find us; another may still boot.
      boolean overdue =
          machine.inherited()
              && silenceSinceRequestMs(machine, nowMs, sureSinceMs) > thresholds.silentMs();
      return overdue ? MachineHealth.Condition.SILENT : MachineHealth.Condition.BOOTING;
    }
    if (thresholds.missedHeartbeat(silenceMs(machine, nowMs, sureSinceMs))) {
      return MachineHealth.Condition.SILENT;
    }
    return unresponsive(machine)
        ? MachineHealth.Condition.UNRESPONSIVE
        : MachineHealth.Condition.RESPONSIVE;
  }

  /** How long a machine that has sent a heartbeat is silent. */
  static long silenceMs(Machine machine, long nowMs, long sureSinceMs) {
    return nowMs - Math.max(machine.lastHeartbeatMs(), sureSinceMs);
  }

  private static long silenceSinceRequestMs(Machine machine, long nowMs, long sureSinceMs) {
    return nowMs - Math.max(sureSinceMs, machine.requestedMs());
  }

  private static boolean unresponsive(Machine machine) {
    return machine.liveness().missedResponses() >= UNRESPONSIVE_MISSED_RESPONSES;
  }

  /** See {@link MachineHealth#check} for the parameters. */
  HealthFindings scan(
      Collection<Machine> machines, long nowMs, long sureSinceMs, IntPredicate evacuated) {
    HealthFindings findings = new HealthFindings(zones);
    for (Machine machine : machines) {
      if (machine.returning()) {
        continue;
      }
      boolean evacuatedByPlan = evacuated.test(machine.zone());
      if (machine.lastHeartbeatMs() < 0) {
        findNeverHeard(machine, nowMs, sureSinceMs, evacuatedByPlan, findings);
      } else {
        findLost(machine, nowMs, sureSinceMs, evacuatedByPlan, findings);
        findLeaving(machine, nowMs, findings);
      }
    }
    return findings;
  }

  private void findNeverHeard(
      Machine machine,
      long nowMs,
      long sureSinceMs,
      boolean evacuatedByPlan,
      HealthFindings findings) {
    // Inherited ones count from the failover, so they get their time to find us.
    long bootMaxMs =
        (long) Math.max(SHORTEST_CHARGE_MS, 1000 * BOOT_PATIENCE * machine.type().bootS());
    if (nowMs - machine.requestedMs() > bootMaxMs) {
      findings.departures.add(new HealthFindings.Departure(machine, "never came up"));
    } else if (!evacuatedByPlan
        && !machine.tasks().isEmpty()
        && silenceSinceRequestMs(machine, nowMs, sureSinceMs) > 2 * thresholds.silentMs()) {
      findings.departures.add(new HealthFindings.Departure(machine, "silent since the failover"));
    }
  }

  private void findLost(
      Machine machine,
      long nowMs,
      long sureSinceMs,
      boolean evacuatedByPlan,
      HealthFindings findings) {
    long silenceMs = silenceMs(machine, nowMs, sureSinceMs);
    findings.addHeartbeat(machine.zone(), thresholds.missedHeartbeat(silenceMs));
    if (evacuatedByPlan) {
      return;
    }
    if (silenceMs > thresholds.silentMs()) {
      findings.silent.add(machine);
    }
    if (unresponsive(machine)) {
      findings.unresponsive.add(machine);
    }
  }

  private static void findLeaving(Machine machine, long nowMs, HealthFindings findings) {
    boolean recalled = machine.recallMs() >= 0 && nowMs > machine.recallMs() + RECALL_SLACK_MS;
    boolean drained = machine.cordoned() && machine.tasks().isEmpty();
    if (recalled || (drained && machine.promisedTo() < 0)) {
      findings.departures.add(new HealthFindings.Departure(machine, "drained"));
    } else if (drained && machine.confirmedUnderToken() && machine.recorded()) {
      findings
          .transfers
          .computeIfAbsent(machine.promisedTo(), shard -> new ArrayList<>())
          .add(machine);
    }
  }
}
