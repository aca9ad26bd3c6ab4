package dev.windbend.machine;

import java.util.Arrays;
import java.util.function.IntPredicate;

/**
 * Finds machines of a shard that are silent, unresponsive, never came up, or are due to leave, and
 * returns or transfers them.
 */
public final class MachineHealth {
  /** Promised machines go together: each transfer is a change in the state service. */
  private static final long TRANSFER_INTERVAL_MS = 2_000;

  /** Fewer machines than this may fall silent at once by chance. */
  private static final int MIN_MACHINES_OF_OWN_LOSS = 3;

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
  private final int zones;
  private final HealthThresholds thresholds;
  private final HealthScan scan;

  private long lastTransferMs = NEVER_MS;

  /** When each zone last looked partitioned. */
  private final long[] partitionedMs;

  /**
   * Health of this fleet's machines, in zones with indexes below {@code zones}.
   *
   * @param heartbeatSeconds interval of the workers' heartbeats
   * @param leaseSeconds how long after its last renewal a worker's lease expires
   */
  public MachineHealth(Fleet fleet, int zones, double heartbeatSeconds, double leaseSeconds) {
    this.fleet = fleet;
    this.zones = zones;
    this.thresholds = HealthThresholds.of(heartbeatSeconds, leaseSeconds);
    this.scan = new HealthScan(thresholds, zones);
    this.partitionedMs = new long[zones];
    Arrays.fill(partitionedMs, NEVER_MS);
  }

  /**
   * How a machine stands now.
   *
   * @param sureSinceMs since when this leader has been able to hear and answer
   */
  public Condition condition(Machine machine, long nowMs, long sureSinceMs) {
    return scan.condition(machine, nowMs, sureSinceMs);
  }

  /**
   * Looks at all machines once, and returns or transfers those that are to go.
   *
   * @param nowMs steady clock
   * @param sureSinceMs since when this leader has been able to hear and answer; the machines'
   *     silence counts from then
   * @param evacuated zones whose lost machines are returned in the order of their evacuation
   */
  public void check(long nowMs, long sureSinceMs, IntPredicate evacuated) {
    HealthFindings findings = scan.scan(fleet.machines(), nowMs, sureSinceMs, evacuated);
    for (HealthFindings.Departure departure : findings.departures) {
      fleet.scaleIn(departure.machine(), departure.cause());
    }
    transfer(findings, nowMs);
    returnSilent(findings, nowMs, sureSinceMs);
    if (!findings.unresponsiveByOwnFault()) {
      findings.unresponsive.forEach(machine -> fleet.scaleIn(machine, "unresponsive"));
    }
  }

  private void transfer(HealthFindings findings, long nowMs) {
    if (!findings.transfers.isEmpty() && nowMs - lastTransferMs >= TRANSFER_INTERVAL_MS) {
      lastTransferMs = nowMs;
      findings.transfers.forEach((shard, machines) -> fleet.transfer(machines, shard));
    }
  }

  private void returnSilent(HealthFindings findings, long nowMs, long sureSinceMs) {
    for (int zone = 0; zone < zones; zone++) {
      if (findings.partitioned(zone)) {
        partitionedMs[zone] = nowMs;
      }
    }
    for (Machine machine : findings.silent) {
      if (isLost(machine, nowMs, sureSinceMs)) {
        fleet.scaleIn(machine, "silent");
      }
    }
  }

  /** Whether a silent machine is lost; after a partition it gets time to find us. */
  private boolean isLost(Machine machine, long nowMs, long sureSinceMs) {
    long sincePartitionMs = nowMs - partitionedMs[machine.zone()];
    return sincePartitionMs == 0
        ? thresholds.lostBehindPartition(HealthScan.silenceMs(machine, nowMs, sureSinceMs))
        : sincePartitionMs > thresholds.silentMs();
  }

  /**
   * Machines were heard before, and for longer than a lost response and an interval explain this
   * controller has heard none at all: what is cut off is the controller. A few may go at once by
   * chance.
   *
   * @param heardMs when any worker was heard last, of this shard or another (steady clock)
   */
  public boolean lostWorkers(long nowMs, long heardMs) {
    long everHeard =
        fleet.machines().stream().filter(machine -> machine.lastHeartbeatMs() >= 0).count();
    long explainedMs = Math.max(2 * thresholds.heartbeatMs(), HealthThresholds.LOST_RESPONSE_MS);
    return everHeard >= MIN_MACHINES_OF_OWN_LOSS && nowMs - heardMs > explainedMs;
  }
}
