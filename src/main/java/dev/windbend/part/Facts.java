package dev.windbend.part;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.List;

/** What the settings file says about teams, workers and the cloud, for owners. */
public record Facts(
    List<TeamFact> teams,
    int nodes,
    double reportS,
    double leaseS,
    double cancelS,
    double listLagS,
    double cloudRps,
    Object2DoubleOpenHashMap<String> finishWithinS) {

  public record TeamFact(
      String name, double cores, double coresMost, double cards, double cardsMost) {}
}
