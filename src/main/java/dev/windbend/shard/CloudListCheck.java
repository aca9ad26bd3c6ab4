package dev.windbend.shard;

import dev.windbend.machine.Fleet;
import dev.windbend.machine.MachineIndex;
import dev.windbend.machine.OrphanedMachines;

/**
 * Compares the shard's machines with the cloud's list of machines, which lags behind: once after a
 * failover, for inherited machines, and in the first shard also periodically, for failed machines
 * and machines that no shard knows.
 */
final class CloudListCheck {
  /** The shard whose leader searches for failed and orphaned machines. */
  private static final int ORPHAN_CHECK_SHARD = 0;

  /** Time from the failover to the check of inherited machines, in multiples of the list's lag. */
  private static final double INHERITED_CHECK_LAGS = 2.5;

  /** Time between two reconciliations, in multiples of the list's lag. */
  private static final double RECONCILIATION_INTERVAL_LAGS = 2;

  /** A machine counts as orphaned after it has been unknown for this many list lags. */
  private static final double ORPHANED_AFTER_LAGS = 8;

  private final int shard;
  private final Fleet fleet;
  private final MachineIndex index;
  private final OrphanedMachines orphanedMachines;
  private final double listLagMs;
  private boolean inheritedChecked;
  private long startedMs;
  private long lastReconciliationMs;

  CloudListCheck(
      int shard,
      Fleet fleet,
      MachineIndex index,
      OrphanedMachines orphanedMachines,
      double listLagSeconds) {
    this.shard = shard;
    this.fleet = fleet;
    this.index = index;
    this.orphanedMachines = orphanedMachines;
    this.listLagMs = Units.MS_PER_SECOND * listLagSeconds;
  }

  /**
   * Starts the intervals of all checks; called when the failover is complete.
   *
   * @param nowMs monotonic clock
   */
  void start(long nowMs) {
    startedMs = nowMs;
    lastReconciliationMs = nowMs;
  }

  /**
   * Returns inherited machines that the cloud does not list. Runs once, as soon as every machine
   * that previous leaders created must be listed.
   *
   * @param nowMs monotonic clock
   */
  void returnUnlistedInherited(long nowMs) {
    if (!inheritedChecked && nowMs - startedMs >= INHERITED_CHECK_LAGS * listLagMs) {
      inheritedChecked = true;
      fleet.returnUnlistedInherited();
    }
  }

  /**
   * Searches the cloud's list for failed and orphaned machines if this is due; does nothing except
   * in the first shard.
   *
   * @param nowMs monotonic clock
   */
  void reconcileFailedAndOrphaned(long nowMs) {
    if (shard == ORPHAN_CHECK_SHARD
        && nowMs - lastReconciliationMs >= RECONCILIATION_INTERVAL_LAGS * listLagMs) {
      lastReconciliationMs = nowMs;
      fleet.reconcileWithCloud(
          (long) (ORPHANED_AFTER_LAGS * listLagMs),
          index::contains,
          orphanedMachines::addCandidate);
    }
  }
}
