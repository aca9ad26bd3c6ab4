package dev.windbend.machine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.function.IntPredicate;

/** Determines the health of the machines of a shard, without changing any of them. */
final class HealthScan {
  /** Maximum delay between the announced and the actual recall of a machine. */
  private static final long RECALL_GRACE_MS = 1_000;

  /** Maximum boot time of a machine, as a multiple of the boot time of its type. */
  private static final double MAX_BOOT_TIME_FACTOR = 2.5;

  /**
   * Minimum time that the cloud charges for, so scaling in a booting machine earlier saves nothing.
   */
  private static final long MIN_CHARGED_TIME_MS = 60_000;

  /** A single missed response may be due to a lost message. */
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
      // An inherited machine has had time to reach this controller; others may still be booting.
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

  /** Time since the last heartbeat of a machine that has sent at least one. */
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
    // Inherited machines count from the failover, so they have time to reach this controller.
    long maxBootMs =
        (long)
            Math.max(
                MIN_CHARGED_TIME_MS, 1000 * MAX_BOOT_TIME_FACTOR * machine.type().bootSeconds());
    if (nowMs - machine.requestedMs() > maxBootMs) {
      findings.scaleInCandidates.add(
          new HealthFindings.ScaleInCandidate(
              machine, "no heartbeat within the maximum boot time"));
    } else if (!handledByEvacuation
        && !machine.tasks().isEmpty()
        && silenceSinceRequestMs(machine, nowMs, reachableSinceMs)
            > 2 * thresholds.maxSilenceMs()) {
      findings.scaleInCandidates.add(
          new HealthFindings.ScaleInCandidate(machine, "no heartbeat since the failover"));
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
