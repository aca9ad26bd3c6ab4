package dev.windbend.peer;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.windbend.machine.MachineMessages.TaskRequirements;

/**
 * Messages with which a shard that lacks machines requests some from the leaders of the other
 * shards. The messages only announce transfers: the record of a machine in the state service
 * determines the shard that it belongs to.
 */
public final class MachineTransferMessages {
  private MachineTransferMessages() {}

  /**
   * A request addressed to the leader of another shard.
   *
   * @param from the shard that is asked for machines
   * @param to the shard that lacks machines
   * @param request the machines that the requesting shard lacks
   */
  record RoutedRequest(
      @JsonProperty("from") int from,
      @JsonProperty("to") int to,
      @JsonProperty("request") Request request) {
    boolean valid(int shardCount) {
      return request != null && request.count() >= 0 && to >= 0 && to < shardCount && from != to;
    }
  }

  /**
   * A shard's request for machines.
   *
   * @param count number of machines that the shard lacks
   * @param guaranteeShare fraction of its teams' guaranteed cores that the shard has; 1 or more if
   *     it has all of them, or if the cloud has more machines available
   * @param overdue tasks for which machines are transferred even if running tasks must be evicted
   *     first; null if there are none
   */
  public record Request(
      @JsonProperty("count") int count,
      @JsonProperty("has") double guaranteeShare,
      @JsonProperty("overdue") OverdueTasks overdue) {

    /**
     * Whether the reply covers the machines for all overdue tasks.
     *
     * @return false also if the request contains no overdue tasks
     */
    public boolean overdueServed(Reply reply) {
      return overdue != null && reply.overdueCount() >= overdue.count();
    }

    /**
     * Returns the part of the request that the reply leaves unmet.
     *
     * @return null if the request is met
     */
    public Request remaining(Reply reply) {
      int remainingCount = Math.max(0, count - reply.count());
      OverdueTasks remainingOverdue =
          overdue == null || overdueServed(reply)
              ? null
              : new OverdueTasks(overdue.task(), overdue.count() - reply.overdueCount());
      return remainingCount == 0 && remainingOverdue == null
          ? null
          : new Request(remainingCount, guaranteeShare, remainingOverdue);
    }
  }

  /**
   * Tasks that have waited beyond the limit after which machines with capacity for them are
   * transferred unconditionally.
   *
   * @param task requirements of the task that has waited longest
   * @param count number of machines on which all of the tasks can start
   */
  public record OverdueTasks(
      @JsonProperty("task") TaskRequirements task, @JsonProperty("count") int count) {}

  /**
   * A leader's reply to a request for machines.
   *
   * @param count number of machines to be transferred
   * @param overdueCount number of machines to be transferred on which the overdue task may run,
   *     including those from which tasks are evicted for it
   */
  public record Reply(@JsonProperty("count") int count, @JsonProperty("overdue") int overdueCount) {
    /** A reply without machines. */
    public static final Reply NONE = new Reply(0, 0);

    /** Returns the sum of both replies; negative counts of the other reply are treated as 0. */
    public Reply plus(Reply other) {
      return new Reply(
          count + Math.max(0, other.count), overdueCount + Math.max(0, other.overdueCount));
    }
  }
}
