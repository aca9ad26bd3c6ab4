package dev.windbend.plan;

import java.util.List;

/**
 * What a round wants; all numbers are indices into its snapshot. {@code shortCores}: what waits for
 * machines that are not up yet, or that nobody rents out. {@code spare}: idle and not spoken for.
 * {@code looks}: how often a machine was looked at, which is what a round costs.
 */
public record SchedulingDecision(
    List<Stop> stops,
    List<Place> places,
    List<Rental> rentals,
    List<Integer> spare,
    List<Integer> giveBack,
    double shortCores,
    int looks) {
  /** One task of this work goes to this room now. */
  public record Place(int work, int room) {}

  /** The running task with this place in the room's list makes room. */
  public record Stop(int room, int running) {}

  public record Rental(int offer, int count) {}
}
