package dev.windbend.shard;

import dev.windbend.machine.Fleet;
import dev.windbend.machine.MachineIndex;
import dev.windbend.machine.OrphanedMachines;

/**
 * Compares the shard's machines with the cloud's list, which lags behind: once for the machines
 * that were taken over, and, for the first shard, again and again for machines that no shard knows.
 */
final class CloudListCheck {
  /** The shard whose leader looks for orphaned machines. */
  private static final int ORPHAN_CHECK_SHARD = 0;

  /** Multiples of the list's lag. */
  private static final double INHERITED_CHECK_LAGS = 2.5;

  private static final double RECONCILIATION_INTERVAL_LAGS = 2;
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

  /** The shard was taken over now. */
  void start(long nowMs) {
    startedMs = nowMs;
    lastReconciliationMs = nowMs;
  }

  /** Once all that former leaders had created must be listed. */
  void returnUnlistedInherited(long nowMs) {
    if (!inheritedChecked && nowMs - startedMs >= INHERITED_CHECK_LAGS * listLagMs) {
      inheritedChecked = true;
      fleet.returnUnlistedInherited();
    }
  }

  void reconcileFailedAndOrphaned(long nowMs) {
    if (shard == ORPHAN_CHECK_SHARD
        && nowMs - lastReconciliationMs >= RECONCILIATION_INTERVAL_LAGS * listLagMs) {
      lastReconciliationMs = nowMs;
      fleet.reconcileWithCloud(
          (long) (ORPHANED_AFTER_LAGS * listLagMs), index::knows, orphanedMachines::addCandidate);
    }
  }
}
