package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.job.JobRegistry;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.runtime.EventLoop;
import dev.windbend.store.PagedStore;
import dev.windbend.zone.ZoneGate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tells operators once a period how a shard stands, and what its oldest waiting job waits for. */
final class ShardStatusLog {
  private static final Logger LOG = LoggerFactory.getLogger(ShardStatusLog.class);

  private final int shard;
  private final EventLoop loop;
  private final JobRegistry board;
  private final Fleet fleet;
  private final DeploymentSpec facts;
  private final OverdueJobs overdueJobs;
  private final ZoneGate zones;
  private final long periodMs;
  private final SchedulingLoop rounds;
  private final PagedStore pages;
  private long toldMs;
  private int oldestWaitS;

  ShardStatusLog(
      int shard,
      EventLoop loop,
      JobRegistry board,
      Fleet fleet,
      DeploymentSpec facts,
      OverdueJobs overdueJobs,
      ZoneGate zones,
      long periodMs,
      SchedulingLoop rounds,
      PagedStore pages) {
    this.shard = shard;
    this.loop = loop;
    this.board = board;
    this.fleet = fleet;
    this.facts = facts;
    this.overdueJobs = overdueJobs;
    this.zones = zones;
    this.periodMs = periodMs;
    this.rounds = rounds;
    this.pages = pages;
    this.toldMs = loop.nowMs();
  }

  int oldestWaitS() {
    return oldestWaitS;
  }

  private boolean due(long now) {
    if (now - toldMs < periodMs) {
      return false;
    }
    toldMs = now;
    return true;
  }

  /** Called again and again while the owner may not act. */
  void unsure(long now, long storeFailsMs) {
    if (due(now)) {
      LOG.info(
          "shard {}: nothing is placed, the lease is not sure; no answer of the state service for {} s",
          shard,
          storeFailsMs / 1000);
    }
  }

  /** Called again and again while it may. */
  void tick(long now) {
    if (!due(now)) {
      return;
    }
    double waiting = 0;
    double placed = 0;
    for (Job j : board.all()) {
      waiting += j.waitingCount() * j.spec().cores();
      placed += j.placements().size() * j.spec().cores();
    }
    int up = 0;
    int booting = 0;
    int unsure = 0;
    for (Machine m : fleet.machines()) {
      up += m.usable(now) ? 1 : 0;
      booting += m.lastHeartbeatMs() < 0 ? 1 : 0;
      unsure += m.lastHeartbeatMs() >= 0 && !m.usable(now) ? 1 : 0;
    }
    LOG.info(
        "shard {}: {} jobs, cores waiting {} placed {}; machines up {} booting {} other {};"
            + " round {} ms, pages {}",
        shard,
        board.all().size(),
        Math.round(waiting),
        Math.round(placed),
        up,
        booting,
        unsure,
        rounds.costMs(),
        pages.used());
    OldestWaitingJob oldest =
        OldestWaitingJob.find(board, fleet, facts, overdueJobs, zones, now, loop.wallMs());
    oldestWaitS = oldest == null ? 0 : (int) oldest.ageS();
    if (oldest != null) {
      LOG.info(
          "shard {}: {} waits, {} s old, for {}",
          shard,
          oldest.uid(),
          oldestWaitS,
          oldest.reason());
    }
  }
}
