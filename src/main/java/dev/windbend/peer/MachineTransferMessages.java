package dev.windbend.peer;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.windbend.machine.MachineMessages.TaskRequirements;

/**
 * Messages by which a shard that lacks machines asks the leaders of the other shards for some. They
 * announce transfers only: a machine changes its shard by its record in the state service.
 */
public final class MachineTransferMessages {
  private MachineTransferMessages() {}

  /**
   * A request on its way to the leader of another shard.
   *
   * @param from the shard that is asked for machines
   * @param to the shard that lacks machines
   * @param request what it lacks
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
   * What a shard asks of the leaders of other shards.
   *
   * @param count machines that it lacks
   * @param guaranteeShare the share of its teams' guaranteed cores that it has; 1 or more: all of
   *     them, or the cloud has more machines
   * @param overdue machines that it gets even if tasks must be evicted from them first; null: none
   */
  public record Request(
      @JsonProperty("count") int count,
      @JsonProperty("has") double guaranteeShare,
      @JsonProperty("overdue") OverdueTasks overdue) {

    /**
     * Whether the reply leaves no overdue task without a machine.
     *
     * @return false as well if the request names no overdue tasks
     */
    public boolean overdueServed(Reply reply) {
      return overdue != null && reply.overdueCount() >= overdue.count();
    }

    /**
     * What is left to ask of other leaders after such a reply.
     *
     * @return null: nothing
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
   * Tasks that have waited for so long that they get machines with room for them in any case.
   *
   * @param task the one that has waited for longest
   * @param count machines that let all of them start
   */
  public record OverdueTasks(
      @JsonProperty("task") TaskRequirements task, @JsonProperty("count") int count) {}

  /**
   * What a leader answers.
   *
   * @param count machines that are coming
   * @param overdueCount those of them that the overdue task may run on
   */
  public record Reply(@JsonProperty("count") int count, @JsonProperty("overdue") int overdueCount) {
    /** No machine is coming. */
    public static final Reply NONE = new Reply(0, 0);

    /** Both replies together; a negative count of the other one counts as none. */
    public Reply plus(Reply other) {
      return new Reply(
          count + Math.max(0, other.count), overdueCount + Math.max(0, other.overdueCount));
    }
  }
}
