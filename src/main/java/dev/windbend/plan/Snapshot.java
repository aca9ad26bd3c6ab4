package dev.windbend.plan;

import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.List;

/**
 * All that a round looks at. Every name is a dense index here; times are of the steady clock.
 * {@code oldestFirst}: this round serves the long overdue before all else.
 */
public record Snapshot(
    long nowMs,
    long periodMs,
    long patienceMs,
    int mostRentals,
    boolean oldestFirst,
    double reserveCores,
    List<Team> teams,
    List<PendingJob> works,
    List<MachineCapacity> rooms,
    List<InstanceOffer> offers) {

  /** Cores, cards and memory. */
  public record Size(double cores, double gpus, double memoryGb) {
    public static final Size NONE = new Size(0, 0, 0);

    public Size plus(Size o) {
      return new Size(cores + o.cores, gpus + o.gpus, memoryGb + o.memoryGb);
    }

    public Size minus(Size o) {
      return new Size(cores - o.cores, gpus - o.gpus, memoryGb - o.memoryGb);
    }

    public Size least(Size o) {
      return new Size(
          Math.min(cores, o.cores), Math.min(gpus, o.gpus), Math.min(memoryGb, o.memoryGb));
    }

    /** How many of the other go in. */
    public int times(Size o) {
      double n = 1e9;
      n = o.cores > 0 ? Math.min(n, (cores + 1e-6) / o.cores) : n;
      n = o.gpus > 0 ? Math.min(n, (gpus + 1e-6) / o.gpus) : n;
      n = o.memoryGb > 0 ? Math.min(n, (memoryGb + 1e-6) / o.memoryGb) : n;
      return (int) n;
    }

    public boolean holds(Size o) {
      return cores + 1e-6 >= o.cores && gpus + 1e-6 >= o.gpus && memoryGb + 1e-6 >= o.memoryGb;
    }
  }

  public record Team(double maxCores, double maxGpus, double usedCores, double usedGpus) {}

  /**
   * The waiting tasks of a job. {@code types}: allowed ones, null for any; {@code zone} -1: any;
   * {@code overdue}: none of its tasks was placed for so long that one goes first, whatever that
   * costs; {@code displaced}: its tasks lost their machine with a zone; {@code guaranteed}: it fits
   * into its team's guarantee with the team's earlier jobs, and such work is to start promptly;
   * {@code startByMs}: until then an early start counts for an aim.
   */
  public record PendingJob(
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
      boolean guaranteed,
      long startByMs,
      long ageMs,
      boolean begun,
      boolean overdue,
      boolean displaced,
      long notBeforeMs,
      IntOpenHashSet avoidRooms) {}

  /**
   * A machine: free now if {@code up}, else all of it from {@code readyMs} on. {@code hearsMs}: how
   * long until it can be told to start something; {@code paidUntilMs}: the end of its paid block;
   * {@code goFromMs}: when it has been idle for long enough to go if there is more than the
   * reserve.
   */
  public record MachineCapacity(
      int type,
      int zone,
      boolean spot,
      boolean up,
      long hearsMs,
      Size free,
      long readyMs,
      boolean idle,
      long paidUntilMs,
      long goFromMs,
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
  public record InstanceOffer(
      int type,
      int zone,
      boolean spot,
      Size size,
      double pricePerH,
      long bootMs,
      double fetchGbPerS) {}
}
