package dev.windbend.shard;

import dev.windbend.peer.StoreOutageDetector;
import dev.windbend.worker.HeartbeatHandler;

/**
 * One term of this controller as leader of a shard. The term begins with the election and ends when
 * the controller is deposed. The leader may act only once the shard is recovered.
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

  /** Whether the shard is recovered and the term has not ended. */
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

  /** When a worker last reached this controller (monotonic clock, ms). */
  long lastWorkerContactMs() {
    return election.lastWorkerContactMs();
  }

  /** Steps down because a write was rejected: the leader record has changed. */
  void stepDown() {
    election.stepDown(shard);
  }

  /** Gives up leadership so that a controller that the workers can reach may be elected. */
  void yieldLeadership() {
    election.yieldLeadership(shard);
  }
}
