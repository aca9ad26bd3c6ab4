package dev.windbend.part;

import dev.windbend.daemon.io.Loop;
import dev.windbend.job.Board;
import dev.windbend.job.Job;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.store.Pages;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tells operators once a period how a part stands, and what its oldest waiting job waits for. */
final class PartLog {
  private static final Logger LOG = LoggerFactory.getLogger(PartLog.class);

  private final int part;
  private final Loop loop;
  private final Board board;
  private final Fleet fleet;
  private final Facts facts;
  private final long periodMs;
  private final Rounds rounds;
  private final Pages pages;
  private long toldMs;
  private int oldestWaitS;

  PartLog(
      int part,
      Loop loop,
      Board board,
      Fleet fleet,
      Facts facts,
      long periodMs,
      Rounds rounds,
      Pages pages) {
    this.part = part;
    this.loop = loop;
    this.board = board;
    this.fleet = fleet;
    this.facts = facts;
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
          "part {}: nothing is placed, the hold is not sure; no answer of the state service for {} s",
          part,
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
      waiting += j.waitingCount() * j.spec.cores();
      placed += j.placements().size() * j.spec.cores();
    }
    int up = 0;
    int booting = 0;
    int unsure = 0;
    for (Machine m : fleet.machines()) {
      up += m.usable(now) ? 1 : 0;
      booting += m.seenMs < 0 ? 1 : 0;
      unsure += m.seenMs >= 0 && !m.usable(now) ? 1 : 0;
    }
    LOG.info(
        "part {}: {} jobs, cores waiting {} placed {}; machines up {} booting {} other {};"
            + " round {} ms, pages {}",
        part,
        board.all().size(),
        Math.round(waiting),
        Math.round(placed),
        up,
        booting,
        unsure,
        rounds.costMs(),
        pages.used());
    OldestWait oldest = OldestWait.find(board, fleet, facts, now, loop.wallMs());
    oldestWaitS = oldest == null ? 0 : (int) oldest.ageS();
    if (oldest != null) {
      LOG.info(
          "part {}: {} waits, {} s old, for {}", part, oldest.uid(), oldestWaitS, oldest.reason());
    }
  }
}
