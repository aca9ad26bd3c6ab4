package dev.windbend.plan;

import java.util.Comparator;
import java.util.List;

/**
 * A machine on which a task may be placed or reserved.
 *
 * @param score penalty; the candidate with the lowest score is preferred
 * @param startMs start time of the task; {@link #NOW} if it can start immediately
 * @param victims indices of the tasks of the machine to preempt before the placement
 */
record Candidate(MachineReservations machine, double score, long startMs, List<Integer> victims) {
  static final long NOW = 0;

  static final Comparator<Candidate> BEST_FIRST =
      Comparator.comparingDouble(Candidate::score)
          .thenComparingInt(candidate -> candidate.machine.index());

  static Candidate startingNow(MachineReservations machine, double score) {
    return new Candidate(machine, score, NOW, List.of());
  }

  static Candidate startingAt(MachineReservations machine, double score, long atMs) {
    return new Candidate(machine, score, atMs, List.of());
  }

  static Candidate preempting(MachineReservations machine, double score, List<Integer> victims) {
    return new Candidate(machine, score, NOW, victims);
  }
}
