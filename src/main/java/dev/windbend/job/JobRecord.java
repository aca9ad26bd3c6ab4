package dev.windbend.job;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** The records of live and ended jobs in the state service. */
public final class JobRecord {
  /**
   * Prefix of the keys of live jobs; the job id follows. The state of their tasks is stored in
   * pages.
   */
  public static final String LIVE_PREFIX = "w/j/";

  /** Prefix of the keys of ended jobs; the job id follows. */
  public static final String ENDED_PREFIX = "a/";

  /** Prefix of the keys of all pages; the shard follows. */
  public static final String PAGES_PREFIX = "w/p/";

  private JobRecord() {}

  /** Returns the prefix of the keys of the pages of one shard. */
  public static String pagesPrefix(int shard) {
    return PAGES_PREFIX + shard + "/";
  }

  /**
   * The record of a live job.
   *
   * @param submittedWallMs when the job was submitted, in milliseconds of the wall clock
   * @param cancelled whether the job is cancelled; this is final
   */
  public record Live(
      @JsonProperty("spec") JobSpec spec,
      @JsonProperty("at") long submittedWallMs,
      @JsonProperty("cancelled") boolean cancelled) {}

  /**
   * Lists which tasks of one index range are completed.
   *
   * @param completed a bit set in little-endian order; null if it is missing
   */
  public record CompletedTasks(@JsonProperty("d") byte[] completed) {}

  /**
   * The tasks that were placed together. Consecutive tasks on the same machine form a run.
   *
   * @param attempt the attempt of all tasks in the batch
   * @param namePrefix the common prefix of the names of all machines
   * @param nameSuffixes the rest of each machine name
   * @param runData three numbers for each run: its first task, its number of tasks, and the index
   *     of its machine in {@code nameSuffixes}
   */
  public record PlacementBatch(
      @JsonProperty("a") long attempt,
      @JsonProperty("x") String namePrefix,
      @JsonProperty("m") List<String> nameSuffixes,
      @JsonProperty("p") long[] runData) {
    /** Number of elements of {@link #runData} for each run. */
    static final int NUMBERS_PER_RUN = 3;

    /**
     * Returns a batch with the machine names split into prefix and suffixes.
     *
     * @param runData as in the record component
     */
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

    /** Returns the name of the machine of the run. */
    String machineName(int run) {
      return namePrefix + nameSuffixes.get((int) runData[run * NUMBERS_PER_RUN + 2]);
    }

    /** Returns the number of runs. */
    int runCount() {
      return runData == null ? 0 : runData.length / NUMBERS_PER_RUN;
    }

    /** Returns the index of the first task of the run. */
    int firstTask(int run) {
      return (int) runData[run * NUMBERS_PER_RUN];
    }

    /** Returns the number of tasks in the run. */
    int taskCount(int run) {
      return (int) runData[run * NUMBERS_PER_RUN + 1];
    }
  }

  /**
   * The final record of a job.
   *
   * @param status one of the values in {@link JobStatus}
   * @param completedTasks the number of completed tasks
   */
  public record Ended(@JsonProperty("s") String status, @JsonProperty("n") int completedTasks) {}
}
