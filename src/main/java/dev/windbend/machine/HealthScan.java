package dev.windbend.machine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.function.IntPredicate;

/** Finds how the machines of a shard stand; changes nothing. */
final class HealthScan {
  /** The cloud may take a machine away so much later than it said. */
  private static final long RECALL_GRACE_MS = 1_000;

  /** A machine may boot for so many times what its type takes. */
  private static final double MAX_BOOT_TIME_FACTOR = 2.5;

  /** For less the cloud charges all the same, so a machine that boots has so long at least. */
  private static final long MIN_CHARGED_TIME_MS = 60_000;

  /** One lost response alone says nothing. */
  private static final int MIN_MISSED_RESPONSES = 2;

  private final HealthThresholds thresholds;
  private final int zoneCount;

  HealthScan(HealthThresholds thresholds, int zoneCount) {
    this.thresholds = thresholds;
    this.zoneCount = zoneCount;
  }

  /** See {@link MachineHealth#condition}. */
  MachineHealth.Condition condition(Machine machine, long nowMs, long reachableSinceMs) {
    if (machine.lastHeartbeatMs() < 0) {
      // An inherited one has had its time to find us; another may still boot.
      boolean overdue =
          machine.inherited()
              && silenceSinceRequestMs(machine, nowMs, reachableSinceMs)
                  > thresholds.maxSilenceMs();
      return overdue ? MachineHealth.Condition.SILENT : MachineHealth.Condition.BOOTING;
    }
    if (thresholds.isHeartbeatOverdue(silenceMs(machine, nowMs, reachableSinceMs))) {
      return MachineHealth.Condition.SILENT;
    }
    return isUnresponsive(machine)
        ? MachineHealth.Condition.UNRESPONSIVE
        : MachineHealth.Condition.RESPONSIVE;
  }

  /** How long a machine that has sent a heartbeat is silent. */
  static long silenceMs(Machine machine, long nowMs, long reachableSinceMs) {
    return nowMs - Math.max(machine.lastHeartbeatMs(), reachableSinceMs);
  }

  private static long silenceSinceRequestMs(Machine machine, long nowMs, long reachableSinceMs) {
    return nowMs - Math.max(reachableSinceMs, machine.requestedMs());
  }

  private static boolean isUnresponsive(Machine machine) {
    return machine.liveness().missedResponses() >= MIN_MISSED_RESPONSES;
  }

  /** See {@link MachineHealth#check} for the parameters. */
  HealthFindings scan(
      Collection<Machine> machines, long nowMs, long reachableSinceMs, IntPredicate isEvacuated) {
    HealthFindings findings = new HealthFindings(zoneCount);
    for (Machine machine : machines) {
      if (machine.terminating()) {
        continue;
      }
      boolean handledByEvacuation = isEvacuated.test(machine.zone());
      if (machine.lastHeartbeatMs() < 0) {
        checkWithoutHeartbeat(machine, nowMs, reachableSinceMs, handledByEvacuation, findings);
      } else {
        checkHeartbeats(machine, nowMs, reachableSinceMs, handledByEvacuation, findings);
        checkDraining(machine, nowMs, findings);
      }
    }
    return findings;
  }

  private void checkWithoutHeartbeat(
      Machine machine,
      long nowMs,
      long reachableSinceMs,
      boolean handledByEvacuation,
      HealthFindings findings) {
    // Inherited ones count from the failover, so they get their time to find us.
    long maxBootMs =
        (long)
            Math.max(
                MIN_CHARGED_TIME_MS, 1000 * MAX_BOOT_TIME_FACTOR * machine.type().bootSeconds());
    if (nowMs - machine.requestedMs() > maxBootMs) {
      findings.scaleInCandidates.add(new HealthFindings.ScaleInCandidate(machine, "never came up"));
    } else if (!handledByEvacuation
        && !machine.tasks().isEmpty()
        && silenceSinceRequestMs(machine, nowMs, reachableSinceMs)
            > 2 * thresholds.maxSilenceMs()) {
      findings.scaleInCandidates.add(
          new HealthFindings.ScaleInCandidate(machine, "silent since the failover"));
    }
  }

  private void checkHeartbeats(
      Machine machine,
      long nowMs,
      long reachableSinceMs,
      boolean handledByEvacuation,
      HealthFindings findings) {
    long silenceMs = silenceMs(machine, nowMs, reachableSinceMs);
    findings.recordHeartbeat(machine.zone(), thresholds.isHeartbeatOverdue(silenceMs));
    if (handledByEvacuation) {
      return;
    }
    if (silenceMs > thresholds.maxSilenceMs()) {
      findings.silent.add(machine);
    }
    if (isUnresponsive(machine)) {
      findings.unresponsive.add(machine);
    }
  }

  private static void checkDraining(Machine machine, long nowMs, HealthFindings findings) {
    boolean recalled = machine.recallAtMs() >= 0 && nowMs > machine.recallAtMs() + RECALL_GRACE_MS;
    boolean drained = machine.cordoned() && machine.tasks().isEmpty();
    if (recalled || (drained && machine.reservedForShard() < 0)) {
      findings.scaleInCandidates.add(new HealthFindings.ScaleInCandidate(machine, "drained"));
    } else if (drained && machine.confirmedUnderToken() && machine.recorded()) {
      findings
          .transfers
          .computeIfAbsent(machine.reservedForShard(), shard -> new ArrayList<>())
          .add(machine);
    }
  }
}
