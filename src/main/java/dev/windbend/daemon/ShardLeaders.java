package dev.windbend.daemon;

import dev.windbend.job.JobRecord;
import dev.windbend.machine.ScaleOutRecord;
import dev.windbend.peer.MachineTransferMessages;
import dev.windbend.shard.LeaderElection;
import dev.windbend.shard.ShardLeader;
import dev.windbend.store.VersionedValue;
import dev.windbend.zone.ZoneStatus;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/** The {@link ShardLeader}s of the shards that this controller leads. */
final class ShardLeaders implements LeaderElection.Listener {
  private final Factory factory;
  private final Map<Integer, ShardLeader> leaders = new LinkedHashMap<>();

  /** Creates the leader of a shard that this controller was elected for. */
  interface Factory {
    /**
     * Creates a leader that has not started yet.
     *
     * @param token fencing token of the leader's term
     */
    ShardLeader create(int shard, long token);
  }

  ShardLeaders(Factory factory) {
    this.factory = factory;
  }

  @Override
  public void elected(int shard, long token) {
    ShardLeader leader = factory.create(shard, token);
    leaders.put(shard, leader);
    leader.start();
  }

  @Override
  public void deposed(int shard) {
    ShardLeader leader = leaders.remove(shard);
    if (leader != null) {
      leader.close();
    }
  }

  /** Returns the number of shards that this controller leads. */
  int shardCount() {
    return leaders.size();
  }

  /** Returns the sum of a metric over all shards that this controller leads. */
  int sum(ToIntFunction<ShardLeader> metric) {
    return leaders.values().stream().mapToInt(metric).sum();
  }

  /** Returns the maximum of a metric over all shards that this controller leads, or 0. */
  int max(ToIntFunction<ShardLeader> metric) {
    return leaders.values().stream().mapToInt(metric).max().orElse(0);
  }

  /** Returns the leader of a shard; null if this controller does not lead the shard. */
  ShardLeader leaderOf(int shard) {
    return leaders.get(shard);
  }

  /** Returns the ready leader that has the machine; null if no leader on this controller has it. */
  ShardLeader leaderOfMachine(String machine) {
    for (ShardLeader leader : leaders.values()) {
      if (leader.ready() && leader.hasMachine(machine)) {
        return leader;
      }
    }
    return null;
  }

  /**
   * Transfers machines from a shard that this controller leads to another shard.
   *
   * @return the reply to the leader of the other shard; null if this controller does not lead
   *     {@code fromShard}
   */
  MachineTransferMessages.Reply transfer(
      int fromShard, int toShard, MachineTransferMessages.Request request) {
    ShardLeader leader = leaders.get(fromShard);
    return leader == null ? null : leader.transfer(toShard, request);
  }

  /** Notifies the leaders that a controller has confirmed a job's cancellation to the user. */
  void cancel(String uid) {
    leaders.values().forEach(leader -> leader.cancel(uid));
  }

  /**
   * Notifies the leaders of a changed key in the state service.
   *
   * @param value the new value; null if the key was removed
   */
  void keyChanged(String key, VersionedValue value) {
    if (key.startsWith(JobRecord.LIVE_PREFIX)) {
      String uid = key.substring(JobRecord.LIVE_PREFIX.length());
      for (ShardLeader leader : copyOfLeaders()) {
        leader.jobRecordChanged(uid, value);
      }
    } else if (key.startsWith(ScaleOutRecord.KEY_PREFIX)) {
      for (ShardLeader leader : copyOfLeaders()) {
        leader.machineRecordChanged(key, value);
      }
    }
  }

  /** Returns the status of the zones for each shard that this controller leads. */
  List<ZoneStatus> zoneStatuses() {
    List<ZoneStatus> statuses = new ArrayList<>();
    leaders.values().forEach(leader -> statuses.addAll(leader.zoneStatuses()));
    return statuses;
  }

  /** Returns a copy, because a leader may be deposed while it is notified of a change. */
  private List<ShardLeader> copyOfLeaders() {
    return List.copyOf(leaders.values());
  }
}
