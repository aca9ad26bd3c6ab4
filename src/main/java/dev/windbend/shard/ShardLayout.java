package dev.windbend.shard;

import dev.windbend.runtime.NameIndex;
import java.util.List;

/** How the teams are parted. Every node works it out alike from the settings. */
public final class ShardLayout {
  private final NameIndex teams = new NameIndex();
  private final List<String> nodes;
  private final int shards;

  public ShardLayout(List<String> teamNames, List<String> nodeNames) {
    teamNames.forEach(teams::index);
    this.nodes = nodeNames.stream().sorted().toList();
    this.shards = Math.max(1, Math.min(nodes.size(), teams.size()));
  }

  public int shards() {
    return shards;
  }

  public int nodes() {
    return nodes.size();
  }

  /** -1: no such team. */
  public int team(String name) {
    return teams.find(name);
  }

  public int shardOf(int team) {
    return team % shards;
  }

  /** How many nodes come before this one in claiming the shard when it is free. */
  public int rank(int shard, String node) {
    int n = nodes.size();
    return Math.floorMod(nodes.indexOf(node) - shard, n);
  }
}
