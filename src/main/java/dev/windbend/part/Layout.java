package dev.windbend.part;

import dev.windbend.daemon.io.Names;
import java.util.List;

/** How the teams are parted. Every node works it out alike from the settings. */
public final class Layout {
  private final Names teams = new Names();
  private final List<String> nodes;
  private final int parts;

  public Layout(List<String> teamNames, List<String> nodeNames) {
    teamNames.forEach(teams::index);
    this.nodes = nodeNames.stream().sorted().toList();
    this.parts = Math.max(1, Math.min(nodes.size(), teams.size()));
  }

  public int parts() {
    return parts;
  }

  public int nodes() {
    return nodes.size();
  }

  /** -1: no such team. */
  public int team(String name) {
    return teams.find(name);
  }

  public int partOf(int team) {
    return team % parts;
  }

  /** How many nodes come before this one in claiming the part when it is free. */
  public int rank(int part, String node) {
    int n = nodes.size();
    return Math.floorMod(nodes.indexOf(node) - part, n);
  }
}
