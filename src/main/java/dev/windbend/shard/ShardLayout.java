package dev.windbend.shard;

import dev.windbend.runtime.NameIndex;
import java.util.List;

/**
 * The assignment of teams to shards, and each shard's preference order of controllers as leaders.
 * All controllers derive the same layout from the settings.
 */
public final class ShardLayout {
  /** The index of a team that does not exist or belongs to another shard. */
  public static final int NO_TEAM = -1;

  private final NameIndex teams = new NameIndex();
  private final List<String> controllers;
  private final int shardCount;

  /**
   * Creates a layout with as many shards as controllers, but no more than teams, and at least one.
   *
   * @param teamNames the names of all teams, in the order of the settings file
   * @param controllerNames the names of all controllers, in any order
   */
  public ShardLayout(List<String> teamNames, List<String> controllerNames) {
    teamNames.forEach(teams::index);
    this.controllers = controllerNames.stream().sorted().toList();
    this.shardCount = Math.max(1, Math.min(controllers.size(), teams.size()));
  }

  /** The number of shards; their indexes start at 0. */
  public int shardCount() {
    return shardCount;
  }

  /** The number of controllers. */
  public int controllerCount() {
    return controllers.size();
  }

  /** The index of the team with this name, or {@link #NO_TEAM}. */
  public int teamIndex(String name) {
    return teams.find(name);
  }

  /** The shard of the team with this index. */
  public int shardOf(int team) {
    return team % shardCount;
  }

  /** The index of the team if it belongs to this shard, otherwise {@link #NO_TEAM}. */
  int teamIndexInShard(String name, int shard) {
    int team = teamIndex(name);
    return team != NO_TEAM && shardOf(team) == shard ? team : NO_TEAM;
  }

  /** The number of controllers that precede this one in the shard's preference order. */
  public int rank(int shard, String controller) {
    int count = controllers.size();
    return Math.floorMod(controllers.indexOf(controller) - shard, count);
  }
}
