package dev.windbend.shard;

import dev.windbend.peer.StoreOutageDetector;
import dev.windbend.worker.HeartbeatHandler;

/**
 * One term of this controller as the leader of a shard: it begins with the election, is usable once
 * the shard's records are taken over, and ends when the controller is deposed.
 */
final class ShardLeadership implements HeartbeatHandler.Leadership {
  private final int shard;
  private final long token;
  private final LeaderElection election;
  private final StoreOutageDetector outageDetector;
  private boolean recovered;
  private boolean ended;

  ShardLeadership(
      int shard, long token, LeaderElection election, StoreOutageDetector outageDetector) {
    this.shard = shard;
    this.token = token;
    this.election = election;
    this.outageDetector = outageDetector;
  }

  int shard() {
    return shard;
  }

  /** The fencing token of the term. */
  long token() {
    return token;
  }

  void markRecovered() {
    recovered = true;
  }

  void end() {
    ended = true;
  }

  boolean ended() {
    return ended;
  }

  /** The shard's jobs and machines are known, and the term has not ended. */
  boolean ready() {
    return recovered && !ended;
  }

  @Override
  public boolean mayAct() {
    return ready() && election.isLeader(shard) && election.isLeaseValid();
  }

  @Override
  public boolean mayRenewWorkerLeases() {
    return outageDetector.mayRenewWorkerLeases();
  }

  /** When any worker reached this controller last (steady clock). */
  long lastWorkerContactMs() {
    return election.lastWorkerContactMs();
  }

  /** A write failed as the election is not valid any more. */
  void stepDown() {
    election.stepDown(shard);
  }

  /** Leaves the shard to a controller that its workers may reach. */
  void yieldLeadership() {
    election.yieldLeadership(shard);
  }
}
