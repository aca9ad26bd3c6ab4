package dev.windbend.machine;

import java.util.Arrays;
import java.util.function.IntPredicate;

/**
 * Detects machines of a shard that are silent, are unresponsive, failed to boot or are drained, and
 * scales them in or transfers them.
 */
public final class MachineHealth {
  /** Collects drained machines into fewer transfers: each is a write to the state service. */
  private static final long MIN_TRANSFER_INTERVAL_MS = 2_000;

  /** Fewer machines than this may fall silent at the same time by coincidence. */
  private static final int MIN_MACHINES_FOR_ISOLATION = 3;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  /** Condition of a machine according to its heartbeats. */
  public enum Condition {
    /** It has sent no heartbeat yet, and none is overdue. */
    BOOTING,
    /** It sends heartbeats that show the effect of the controller's responses. */
    RESPONSIVE,
    /** A heartbeat is overdue. */
    SILENT,
    /** It sends heartbeats that show no effect of the controller's responses. */
    UNRESPONSIVE
  }

  private final Fleet fleet;
  private final int zoneCount;
  private final HealthThresholds thresholds;
  private final HealthScan scan;

  private long lastTransferMs = NEVER_MS;

  /** When each zone last seemed partitioned (monotonic clock, ms). */
  private final long[] lastPartitionedMs;

  /**
   * Creates the health check of a fleet, whose zones have dense indexes below {@code zoneCount}.
   *
   * @param heartbeatIntervalSeconds interval of the workers' heartbeats
   * @param leaseSeconds duration of a worker's lease, counted from its last renewal
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
   * Determines the current condition of a machine.
   *
   * @param nowMs monotonic clock
   * @param reachableSinceMs since when this leader has been able to receive and answer heartbeats
   */
  public Condition condition(Machine machine, long nowMs, long reachableSinceMs) {
    return scan.condition(machine, nowMs, reachableSinceMs);
  }

  /**
   * Checks all machines once, and scales in or transfers those that have to leave the shard.
   *
   * @param nowMs monotonic clock
   * @param reachableSinceMs since when this leader has been able to receive and answer heartbeats;
   *     silence before that time does not count
   * @param isEvacuated zones whose lost machines are scaled in by the zone evacuation instead
   */
  public void check(long nowMs, long reachableSinceMs, IntPredicate isEvacuated) {
    HealthFindings findings = scan.scan(fleet.machines(), nowMs, reachableSinceMs, isEvacuated);
    for (HealthFindings.ScaleInCandidate candidate : findings.scaleInCandidates) {
      fleet.scaleIn(candidate.machine(), candidate.cause());
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

  /** Whether a silent machine is lost. After a partition it has time to reach this controller. */
  private boolean isLost(Machine machine, long nowMs, long reachableSinceMs) {
    long sincePartitionMs = nowMs - lastPartitionedMs[machine.zone()];
    return sincePartitionMs == 0
        ? thresholds.isLostBehindPartition(HealthScan.silenceMs(machine, nowMs, reachableSinceMs))
        : sincePartitionMs > thresholds.maxSilenceMs();
  }

  /**
   * Whether this controller itself is cut off from the workers: machines have sent heartbeats
   * before, but the controller has received none from any worker for longer than a lost response or
   * two heartbeat intervals can explain. Requires several machines, since a few may fall silent at
   * the same time by coincidence.
   *
   * @param nowMs monotonic clock
   * @param lastHeartbeatMs when a heartbeat of any worker, of this shard or another, last arrived
   *     (monotonic clock)
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
