package dev.windbend.plan;

import java.util.List;

/** What a round wants; all numbers are indices into its snapshot. */
public record Wanted(List<Place> places, List<Rental> rentals, List<Integer> giveBack) {
  /** One task of this work goes to this room now. */
  public record Place(int work, int room) {}

  public record Rental(int offer, int count) {}
}
