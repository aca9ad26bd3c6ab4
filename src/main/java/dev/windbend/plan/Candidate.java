package dev.windbend.plan;

import java.util.Comparator;
import java.util.List;

/**
 * A machine that a task may be placed on.
 *
 * @param score what speaks against it; the lowest is the best
 * @param startMs when the task may start; {@link #NOW}: at once
 * @param victims indices of the machine's tasks to preempt first
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
