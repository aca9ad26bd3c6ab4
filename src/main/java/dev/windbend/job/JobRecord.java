package dev.windbend.job;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** What the state service keeps of a live job, of a piece of a large one, and of an ended one. */
public final class JobRecord {
  /** Keys of live jobs, of the pieces of large ones, and of ended ones. */
  public static final String LIVE = "w/j/";

  public static final String PIECES = "w/k/";
  public static final String ENDED = "a/";

  private JobRecord() {}

  /** {@code piece}: the tasks themselves, if the job is small enough to be one record. */
  public record Live(
      @JsonProperty("spec") JobSpec spec,
      @JsonProperty("at") long submittedWallMs,
      @JsonProperty("cancelled") boolean cancelled,
      @JsonProperty("piece") Piece piece) {}

  /**
   * Consecutive tasks: the next attempt, a bit set of those done, and three numbers per placed
   * task: its offset, the attempt, the index of its machine.
   */
  public record Piece(
      @JsonProperty("n") long nextAttempt,
      @JsonProperty("d") byte[] done,
      @JsonProperty("m") List<String> machines,
      @JsonProperty("p") long[] placed) {}

  public record Ended(@JsonProperty("s") String status, @JsonProperty("n") int done) {}
}
