package dev.windbend.machine;

import java.util.Arrays;
import java.util.function.IntPredicate;

/**
 * Finds machines of a shard that are silent, unresponsive, never came up, or are due to leave, and
 * returns or transfers them.
 */
public final class MachineHealth {
  /** Promised machines go together: each transfer is a change in the state service. */
  private static final long MIN_TRANSFER_INTERVAL_MS = 2_000;

  /** Fewer machines than this may fall silent at once by chance. */
  private static final int MIN_MACHINES_FOR_ISOLATION = 3;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  /** How a machine stands, as its heartbeats tell. */
  public enum Condition {
    /** It has sent no heartbeat yet, and need not have. */
    BOOTING,
    /** It sends heartbeats, and shows the effect of our responses. */
    RESPONSIVE,
    /** A heartbeat is overdue. */
    SILENT,
    /** It sends heartbeats, but shows no effect of our responses. */
    UNRESPONSIVE
  }

  private final Fleet fleet;
  private final int zoneCount;
  private final HealthThresholds thresholds;
  private final HealthScan scan;

  private long lastTransferMs = NEVER_MS;

  /** When each zone last looked partitioned. */
  private final long[] lastPartitionedMs;

  /**
   * Health of this fleet's machines, in zones with indexes below {@code zones}.
   *
   * @param heartbeatIntervalSeconds interval of the workers' heartbeats
   * @param leaseSeconds how long after its last renewal a worker's lease expires
   */
  public MachineHealth(
      Fleet fleet, int zoneCount, double heartbeatIntervalSeconds, double leaseSeconds) {
    this.fleet = fleet;
    this.zoneCount = zoneCount;
    this.thresholds = HealthThresholds.fromSeconds(heartbeatIntervalSeconds, leaseSeconds);
    this.scan = new HealthScan(thresholds, zoneCount);
    this.lastPartitionedMs = new long[zoneCount];
    Arrays.fill(lastPartitionedMs, NEVER_MS);
  }

  /**
   * How a machine stands now.
   *
   * @param reachableSinceMs since when this leader has been able to hear and answer
   */
  public Condition condition(Machine machine, long nowMs, long reachableSinceMs) {
    return scan.condition(machine, nowMs, reachableSinceMs);
  }

  /**
   * Looks at all machines once, and returns or transfers those that are to go.
   *
   * @param nowMs steady clock
   * @param reachableSinceMs since when this leader has been able to hear and answer; the machines'
   *     silence counts from then
   * @param isEvacuated zones whose lost machines are returned in the order of their evacuation
   */
  public void check(long nowMs, long reachableSinceMs, IntPredicate isEvacuated) {
    HealthFindings findings = scan.scan(fleet.machines(), nowMs, reachableSinceMs, isEvacuated);
    for (HealthFindings.ScaleInCandidate departure : findings.scaleInCandidates) {
      fleet.scaleIn(departure.machine(), departure.cause());
    }
    transferDrained(findings, nowMs);
    scaleInSilent(findings, nowMs, reachableSinceMs);
    if (!findings.unresponsiveDueToController()) {
      findings.unresponsive.forEach(machine -> fleet.scaleIn(machine, "unresponsive"));
    }
  }

  private void transferDrained(HealthFindings findings, long nowMs) {
    if (!findings.transfers.isEmpty() && nowMs - lastTransferMs >= MIN_TRANSFER_INTERVAL_MS) {
      lastTransferMs = nowMs;
      findings.transfers.forEach((shard, machines) -> fleet.transfer(machines, shard));
    }
  }

  private void scaleInSilent(HealthFindings findings, long nowMs, long reachableSinceMs) {
    for (int zone = 0; zone < zoneCount; zone++) {
      if (findings.isPartitioned(zone)) {
        lastPartitionedMs[zone] = nowMs;
      }
    }
    for (Machine machine : findings.silent) {
      if (isLost(machine, nowMs, reachableSinceMs)) {
        fleet.scaleIn(machine, "silent");
      }
    }
  }

  /** Whether a silent machine is lost; after a partition it gets time to find us. */
  private boolean isLost(Machine machine, long nowMs, long reachableSinceMs) {
    long sincePartitionMs = nowMs - lastPartitionedMs[machine.zone()];
    return sincePartitionMs == 0
        ? thresholds.isLostBehindPartition(HealthScan.silenceMs(machine, nowMs, reachableSinceMs))
        : sincePartitionMs > thresholds.maxSilenceMs();
  }

  /**
   * Machines were heard before, and for longer than a lost response and an interval explain this
   * controller has heard none at all: what is cut off is the controller. A few may go at once by
   * chance.
   *
   * @param lastHeartbeatMs when any worker was heard last, of this shard or another (steady clock)
   */
  public boolean isIsolatedFromWorkers(long nowMs, long lastHeartbeatMs) {
    long machinesWithHeartbeat =
        fleet.machines().stream().filter(machine -> machine.lastHeartbeatMs() >= 0).count();
    long maxExpectedSilenceMs =
        Math.max(2 * thresholds.heartbeatIntervalMs(), HealthThresholds.LOST_RESPONSE_RECOVERY_MS);
    return machinesWithHeartbeat >= MIN_MACHINES_FOR_ISOLATION
        && nowMs - lastHeartbeatMs > maxExpectedSilenceMs;
  }
}
