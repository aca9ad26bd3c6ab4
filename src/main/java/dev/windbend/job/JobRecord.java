package dev.windbend.job;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** What the state service keeps of a live job, of its tasks, and of an ended job. */
public final class JobRecord {
  /** Keys of live jobs and of ended ones; the tasks of live ones are entries of pages. */
  public static final String LIVE_PREFIX = "w/j/";

  public static final String ENDED_PREFIX = "a/";

  /** Pages of entries, below it the shard. */
  public static final String PAGES_PREFIX = "w/p/";

  private JobRecord() {}

  public static String pagesPrefix(int shard) {
    return PAGES_PREFIX + shard + "/";
  }

  public record Live(
      @JsonProperty("spec") JobSpec spec,
      @JsonProperty("at") long submittedWallMs,
      @JsonProperty("cancelled") boolean cancelled) {}

  /** Which of some neighbouring tasks are done, as a bit set. */
  public record CompletedTasks(@JsonProperty("d") byte[] completed) {}

  /**
   * Tasks placed together: the attempt, the machines' names (what all have in front, and the rest
   * of each), and three numbers for each run of neighbours on a machine: the first task, how many,
   * the index of the machine.
   */
  public record PlacementBatch(
      @JsonProperty("a") long attempt,
      @JsonProperty("x") String namePrefix,
      @JsonProperty("m") List<String> nameSuffixes,
      @JsonProperty("p") long[] runData) {
    static final int NUMBERS_PER_RUN = 3;

    static PlacementBatch of(long attempt, List<String> machines, long[] runData) {
      String prefix = machines.isEmpty() ? "" : machines.get(0);
      for (String machine : machines) {
        int commonLength = 0;
        while (commonLength < Math.min(prefix.length(), machine.length())
            && prefix.charAt(commonLength) == machine.charAt(commonLength)) {
          commonLength++;
        }
        prefix = prefix.substring(0, commonLength);
      }
      int prefixLength = prefix.length();
      return new PlacementBatch(
          attempt,
          prefix,
          machines.stream().map(machine -> machine.substring(prefixLength)).toList(),
          runData);
    }

    String machineName(int run) {
      return namePrefix + nameSuffixes.get((int) runData[run * NUMBERS_PER_RUN + 2]);
    }

    int runCount() {
      return runData == null ? 0 : runData.length / NUMBERS_PER_RUN;
    }

    int firstTask(int run) {
      return (int) runData[run * NUMBERS_PER_RUN];
    }

    int taskCount(int run) {
      return (int) runData[run * NUMBERS_PER_RUN + 1];
    }
  }

  public record Ended(@JsonProperty("s") String status, @JsonProperty("n") int completedTasks) {}
}
