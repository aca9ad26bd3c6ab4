package dev.windbend.shard;

import dev.windbend.machine.Fleet;
import dev.windbend.machine.MachineHealth;
import dev.windbend.runtime.EventLoop;
import dev.windbend.store.GroupCommitter;
import dev.windbend.store.StoreClient;

/**
 * Compares wanted and actual state of a shard at a steady interval and acts on the differences, for
 * as long as the controller is its leader. While the lease is not surely valid nothing is done.
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

  /** What the loop looks after. */
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

  /** Begins when the shard's records are taken over. */
  void start(long nowMs) {
    components.cloudList.start(nowMs);
    tick();
  }

  private void tick() {
    if (leadership.ended()) {
      return;
    }
    long now = loop.nowMs();
    if (leadership.mayAct()) {
      reconcile(now);
    } else {
      leaseValidSinceMs = LEASE_NOT_VALID;
      statusLog.logSuspendedIfDue(now, store.failingForMs());
    }
    loop.after(INTERVAL_MS, this::tick);
  }

  /** The order counts: what an earlier step finds out, a later one acts on and writes. */
  private void reconcile(long now) {
    if (leaseValidSinceMs == LEASE_NOT_VALID) {
      leaseValidSinceMs = now;
    }
    yieldIfNoWorkerContact(now);
    components.zones.check(now, leaseValidSinceMs);
    checkMachines(now);
    components.jobs.finishCancelled();
    components.transfers.tick(now);
    components.fleet.processPending();
    components.scheduling.runIfDue(SCHEDULING_INTERVAL_MS);
    components.committer.commitDue();
    statusLog.logIfDue(now);
    components.cloudList.returnUnlistedInherited(now);
    components.cloudList.reconcileFailedAndOrphaned(now);
  }

  private void yieldIfNoWorkerContact(long now) {
    long lastContactMs = Math.max(leaseValidSinceMs, leadership.lastWorkerContactMs());
    if (components.health.isIsolatedFromWorkers(now, lastContactMs)) {
      leadership.yieldLeadership();
    }
  }

  private void checkMachines(long now) {
    components.health.check(now, leaseValidSinceMs, components.zones.availability()::isEvacuated);
  }
}
