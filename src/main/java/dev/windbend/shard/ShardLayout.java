package dev.windbend.shard;

import dev.windbend.runtime.NameIndex;
import java.util.List;

/**
 * Which team is of which shard, and which controller is to lead it. Every controller works it out
 * alike from the settings.
 */
public final class ShardLayout {
  /** The index of a team that there isn't, or that is of another shard. */
  public static final int NO_TEAM = -1;

  private final NameIndex teams = new NameIndex();
  private final List<String> controllers;
  private final int shardCount;

  /**
   * Makes one shard a controller, but not more than there are teams.
   *
   * @param teamNames in the order of the settings file
   * @param controllerNames the names of all controllers, in any order
   */
  public ShardLayout(List<String> teamNames, List<String> controllerNames) {
    teamNames.forEach(teams::index);
    this.controllers = controllerNames.stream().sorted().toList();
    this.shardCount = Math.max(1, Math.min(controllers.size(), teams.size()));
  }

  /** How many shards there are; they are numbered from 0. */
  public int shardCount() {
    return shardCount;
  }

  /** How many controllers there are. */
  public int controllerCount() {
    return controllers.size();
  }

  /** The index of the team, or {@link #NO_TEAM}. */
  public int teamIndex(String name) {
    return teams.find(name);
  }

  /** The shard of the team with this index. */
  public int shardOf(int team) {
    return team % shardCount;
  }

  /** The index of the team if it is of this shard, else {@link #NO_TEAM}. */
  int teamIndexInShard(String name, int shard) {
    int team = teamIndex(name);
    return team != NO_TEAM && shardOf(team) == shard ? team : NO_TEAM;
  }

  /** How many controllers come before this one in campaigning for a shard without a leader. */
  public int rank(int shard, String controller) {
    int count = controllers.size();
    return Math.floorMod(controllers.indexOf(controller) - shard, count);
  }
}
