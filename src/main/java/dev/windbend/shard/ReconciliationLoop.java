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
  private static final long LEASE_UNSURE = -1;

  private final ShardLeadership leadership;
  private final EventLoop loop;
  private final StoreClient store;
  private final ShardStatusLog statusLog;
  private final Duties duties;
  private long leaseValidSinceMs = LEASE_UNSURE;

  /** What the loop looks after. */
  record Duties(
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
      Duties duties) {
    this.leadership = leadership;
    this.loop = loop;
    this.store = store;
    this.statusLog = statusLog;
    this.duties = duties;
  }

  /** Begins when the shard's records are taken over. */
  void start(long nowMs) {
    duties.cloudList.start(nowMs);
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
      leaseValidSinceMs = LEASE_UNSURE;
      statusLog.tickSuspended(now, store.failingForMs());
    }
    loop.after(INTERVAL_MS, this::tick);
  }

  /** The order counts: what an earlier step finds out, a later one acts on and writes. */
  private void reconcile(long now) {
    if (leaseValidSinceMs == LEASE_UNSURE) {
      leaseValidSinceMs = now;
    }
    yieldIfUnreached(now);
    duties.zones.check(now, leaseValidSinceMs);
    checkMachines(now);
    duties.jobs.endCancelled();
    duties.transfers.tick(now);
    duties.fleet.pursue();
    duties.scheduling.tick(SCHEDULING_INTERVAL_MS);
    duties.committer.commitDue();
    statusLog.tick(now);
    duties.cloudList.returnUnlistedInherited(now);
    duties.cloudList.reconcileFailedAndOrphaned(now);
  }

  private void yieldIfUnreached(long now) {
    long heardMs = Math.max(leaseValidSinceMs, leadership.lastWorkerContactMs());
    if (duties.health.lostWorkers(now, heardMs)) {
      leadership.yieldToOthers();
    }
  }

  private void checkMachines(long now) {
    duties.health.check(now, leaseValidSinceMs, duties.zones.availability()::evacuates);
  }
}
