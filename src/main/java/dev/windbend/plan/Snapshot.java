package dev.windbend.plan;

import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.List;

/** All that a round looks at. Every name is a dense index here; times are of the steady clock. */
public record Snapshot(
    long nowMs,
    long periodMs,
    long patienceMs,
    int mostRentals,
    List<Team> teams,
    List<Work> works,
    List<Room> rooms,
    List<Offer> offers) {

  /** Cores, cards and memory. */
  public record Size(double cores, double cards, double ram) {
    public Size plus(Size o) {
      return new Size(cores + o.cores, cards + o.cards, ram + o.ram);
    }

    public Size minus(Size o) {
      return new Size(cores - o.cores, cards - o.cards, ram - o.ram);
    }

    public boolean holds(Size o) {
      return cores + 1e-6 >= o.cores && cards + 1e-6 >= o.cards && ram + 1e-6 >= o.ram;
    }
  }

  public record Team(double mostCores, double mostCards, double usedCores, double usedCards) {}

  /**
   * The waiting tasks of a job. {@code types}: allowed ones, null for any; {@code zone} -1: any.
   */
  public record Work(
      int team,
      int rank,
      Size size,
      boolean[] types,
      int zone,
      boolean together,
      boolean spread,
      boolean spot,
      int image,
      double imageGb,
      int tasks,
      int waiting,
      int[] placedPerZone,
      long estimateMs,
      long dueMs,
      boolean hopeless,
      long notBeforeMs,
      IntOpenHashSet avoidRooms) {}

  /** A machine: free now if {@code up}, else all of it from {@code readyMs} on. */
  public record Room(
      int type,
      int zone,
      boolean spot,
      boolean up,
      Size free,
      long readyMs,
      boolean idle,
      long paidUntilMs,
      double pricePerH,
      double fetchGbPerS,
      IntOpenHashSet images,
      List<Running> running) {}

  /**
   * A task on a machine: when it should end, and what stopping it now would lose. {@code lostMs}
   * -1: it is being stopped already.
   */
  public record Running(long endMs, Size size, int rank, long lostMs) {}

  /** A kind of machine to rent now. */
  public record Offer(
      int type,
      int zone,
      boolean spot,
      Size size,
      double pricePerH,
      long bootMs,
      double fetchGbPerS) {}
}
