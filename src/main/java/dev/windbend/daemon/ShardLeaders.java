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

/** The shards that this controller leads, each with its {@link ShardLeader}. */
final class ShardLeaders implements LeaderElection.Listener {
  private final Factory factory;
  private final Map<Integer, ShardLeader> leaders = new LinkedHashMap<>();

  /** Makes the leader of a shard that this controller was elected for. */
  interface Factory {
    /**
     * A leader that has not started yet.
     *
     * @param token the fencing token
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

  /** How many shards are led here. */
  int shardCount() {
    return leaders.size();
  }

  /** The sum of a figure over all shards led here. */
  int sum(ToIntFunction<ShardLeader> metric) {
    return leaders.values().stream().mapToInt(metric).sum();
  }

  /** The largest of a figure over all shards led here; 0 if there are none. */
  int max(ToIntFunction<ShardLeader> metric) {
    return leaders.values().stream().mapToInt(metric).max().orElse(0);
  }

  /** The leader of a shard; null if it is not led here. */
  ShardLeader leaderOf(int shard) {
    return leaders.get(shard);
  }

  /** The leader that has this machine and is ready; null if there is none here. */
  ShardLeader leaderOfMachine(String machine) {
    for (ShardLeader leader : leaders.values()) {
      if (leader.ready() && leader.hasMachine(machine)) {
        return leader;
      }
    }
    return null;
  }

  /**
   * Transfers machines from a shard led here to another shard.
   *
   * @return null if the shard is not led here
   */
  MachineTransferMessages.Reply transfer(
      int fromShard, int toShard, MachineTransferMessages.Request request) {
    ShardLeader leader = leaders.get(fromShard);
    return leader == null ? null : leader.transfer(toShard, request);
  }

  /** A cancellation was confirmed to its user by some controller. */
  void cancel(String uid) {
    leaders.values().forEach(leader -> leader.cancel(uid));
  }

  /**
   * A key of the state service has changed.
   *
   * @param value null: it was removed
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

  /** How the zones are, as each shard led here sees them. */
  List<ZoneStatus> zoneStatuses() {
    List<ZoneStatus> statuses = new ArrayList<>();
    leaders.values().forEach(leader -> statuses.addAll(leader.zoneStatuses()));
    return statuses;
  }

  /** A copy: a leader that learns of a change may be deposed meanwhile. */
  private List<ShardLeader> copyOfLeaders() {
    return List.copyOf(leaders.values());
  }
}
