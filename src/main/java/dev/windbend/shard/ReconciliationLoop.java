package dev.windbend.shard;

import dev.windbend.machine.Fleet;
import dev.windbend.machine.MachineHealth;
import dev.windbend.runtime.EventLoop;
import dev.windbend.store.GroupCommitter;
import dev.windbend.store.StoreClient;

/**
 * Periodically compares the desired and actual state of a shard and acts on the differences, until
 * the term of its leader ends. While the leader may not act, for example because its lease may have
 * expired, the loop only logs that scheduling is suspended.
 */
final class ReconciliationLoop {
  private static final long INTERVAL_MS = 500;
  private static final long SCHEDULING_INTERVAL_MS = 2 * INTERVAL_MS;
  private static final long LEASE_NOT_VALID = -1;

  private final ShardLeadership leadership;
  private final EventLoop loop;
  private final StoreClient store;
  private final ShardStatusLog statusLog;
  private final Components components;
  private long leaseValidSinceMs = LEASE_NOT_VALID;

  /** The components that the loop runs. */
  record Components(
      ShardZones zones,
      MachineHealth health,
      ShardJobs jobs,
      MachineTransfers transfers,
      Fleet fleet,
      SchedulingLoop scheduling,
      GroupCommitter committer,
      CloudListCheck cloudList) {}

  ReconciliationLoop(
      ShardLeadership leadership,
      EventLoop loop,
      StoreClient store,
      ShardStatusLog statusLog,
      Components components) {
    this.leadership = leadership;
    this.loop = loop;
    this.store = store;
    this.statusLog = statusLog;
    this.components = components;
  }

  /** Starts the loop. Called when the shard's records are restored. */
  void start(long nowMs) {
    components.cloudList.start(nowMs);
    tick();
  }

  private void tick() {
    if (leadership.ended()) {
      return;
    }
    long nowMs = loop.nowMs();
    if (leadership.mayAct()) {
      reconcile(nowMs);
    } else {
      leaseValidSinceMs = LEASE_NOT_VALID;
      statusLog.logSuspendedIfDue(nowMs, store.failingForMs());
    }
    loop.after(INTERVAL_MS, this::tick);
  }

  /**
   * The order of the steps matters: later steps act on the results of earlier ones and write them.
   */
  private void reconcile(long nowMs) {
    if (leaseValidSinceMs == LEASE_NOT_VALID) {
      leaseValidSinceMs = nowMs;
    }
    yieldIfNoWorkerContact(nowMs);
    components.zones.check(nowMs, leaseValidSinceMs);
    checkMachines(nowMs);
    components.jobs.finishCancelled();
    components.transfers.tick(nowMs);
    components.fleet.processPending();
    components.scheduling.runIfDue(SCHEDULING_INTERVAL_MS);
    components.committer.commitDue();
    statusLog.logIfDue(nowMs);
    components.cloudList.returnUnlistedInherited(nowMs);
    components.cloudList.reconcileFailedAndOrphaned(nowMs);
  }

  private void yieldIfNoWorkerContact(long nowMs) {
    long lastContactMs = Math.max(leaseValidSinceMs, leadership.lastWorkerContactMs());
    if (components.health.isIsolatedFromWorkers(nowMs, lastContactMs)) {
      leadership.yieldLeadership();
    }
  }

  private void checkMachines(long nowMs) {
    components.health.check(nowMs, leaseValidSinceMs, components.zones.availability()::isEvacuated);
  }
}
