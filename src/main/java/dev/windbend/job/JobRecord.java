package dev.windbend.job;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** What the state service keeps of a live job, of its tasks, and of an ended job. */
public final class JobRecord {
  /** Keys of live jobs and of ended ones; the tasks of live ones are entries of pages. */
  public static final String LIVE = "w/j/";

  public static final String ENDED = "a/";

  /** Pages of entries, below it the shard. */
  public static final String PAGES = "w/p/";

  private JobRecord() {}

  public static String pages(int shard) {
    return PAGES + shard + "/";
  }

  public record Live(
      @JsonProperty("spec") JobSpec spec,
      @JsonProperty("at") long submittedWallMs,
      @JsonProperty("cancelled") boolean cancelled) {}

  /** Which of some neighbouring tasks are done, as a bit set. */
  public record Piece(@JsonProperty("d") byte[] done) {}

  /**
   * Tasks placed together: the attempt, the machines' names (what all have in front, and the rest
   * of each), and three numbers for each run of neighbours on a machine: the first task, how many,
   * the index of the machine.
   */
  public record PlacementBatch(
      @JsonProperty("a") long attempt,
      @JsonProperty("x") String front,
      @JsonProperty("m") List<String> rest,
      @JsonProperty("p") long[] placed) {
    static final int RUN = 3;

    static PlacementBatch of(long attempt, List<String> machines, long[] placed) {
      String front = machines.isEmpty() ? "" : machines.get(0);
      for (String m : machines) {
        int n = 0;
        while (n < Math.min(front.length(), m.length()) && front.charAt(n) == m.charAt(n)) {
          n++;
        }
        front = front.substring(0, n);
      }
      int length = front.length();
      return new PlacementBatch(
          attempt, front, machines.stream().map(m -> m.substring(length)).toList(), placed);
    }

    String machine(int run) {
      return front + rest.get((int) placed[run * RUN + 2]);
    }

    int runs() {
      return placed == null ? 0 : placed.length / RUN;
    }

    int first(int run) {
      return (int) placed[run * RUN];
    }

    int count(int run) {
      return (int) placed[run * RUN + 1];
    }
  }

  public record Ended(@JsonProperty("s") String status, @JsonProperty("n") int done) {}
}
