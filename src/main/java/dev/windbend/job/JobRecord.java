package dev.windbend.job;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** What the state service keeps of a live job, of its tasks, and of an ended job. */
public final class JobRecord {
  /** Keys of live jobs and of ended ones; the tasks of live ones are entries of pages. */
  public static final String LIVE = "w/j/";

  public static final String ENDED = "a/";

  /** Pages of entries, below it the part. */
  public static final String PAGES = "w/p/";

  private JobRecord() {}

  public static String pages(int part) {
    return PAGES + part + "/";
  }

  public record Live(
      @JsonProperty("spec") JobSpec spec,
      @JsonProperty("at") long submittedWallMs,
      @JsonProperty("cancelled") boolean cancelled) {}

  /**
   * Consecutive tasks: the next attempt, a bit set of those done, and four numbers for each run of
   * neighbours placed alike: offset, how many, the attempt, the index of the machine.
   */
  public record Piece(
      @JsonProperty("n") long nextAttempt,
      @JsonProperty("d") byte[] done,
      @JsonProperty("m") List<String> machines,
      @JsonProperty("p") long[] placed) {
    static final int RUN = 4;

    int doneCount() {
      return done == null ? 0 : java.util.BitSet.valueOf(done).cardinality();
    }

    int placedCount() {
      int n = 0;
      for (int i = 1; placed != null && i < placed.length; i += RUN) {
        n += (int) placed[i];
      }
      return n;
    }
  }

  public record Ended(@JsonProperty("s") String status, @JsonProperty("n") int done) {}
}
