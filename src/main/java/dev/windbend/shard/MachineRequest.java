package dev.windbend.shard;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.windbend.machine.TaskRequirements;

/**
 * What a shard asks of another shard's owner.
 *
 * @param count machines that it lacks
 * @param guaranteeShare the share of its guarantee that it has; 1 or more: all of it, or the cloud
 *     has more machines
 * @param overdue machines that it gets even if they must be vacated first; null: none
 */
public record MachineRequest(
    @JsonProperty("count") int count,
    @JsonProperty("has") double guaranteeShare,
    @JsonProperty("overdue") Overdue overdue) {

  /**
   * Tasks that have waited for so long that they get machines with room for them in any case.
   *
   * @param task the one that has waited for longest
   * @param count machines that let all of them begin
   */
  public record Overdue(
      @JsonProperty("task") TaskRequirements task, @JsonProperty("count") int count) {}

  /**
   * What the owner asked answers.
   *
   * @param count machines that are coming
   * @param overdueCount machines that are coming and that the overdue task may run on
   */
  public record Reply(@JsonProperty("count") int count, @JsonProperty("overdue") int overdueCount) {
    public static final Reply NOTHING = new Reply(0, 0);

    public Reply plus(Reply other) {
      return new Reply(
          count + Math.max(0, other.count), overdueCount + Math.max(0, other.overdueCount));
    }
  }

  /** Whether the reply leaves no overdue task without a machine. */
  public boolean overdueServed(Reply reply) {
    return overdue != null && reply.overdueCount() >= overdue.count();
  }

  /** What is left to ask of others after such a reply; null: nothing. */
  public MachineRequest remaining(Reply reply) {
    int left = Math.max(0, count - reply.count());
    Overdue overdueLeft =
        overdue == null || overdueServed(reply)
            ? null
            : new Overdue(overdue.task(), overdue.count() - reply.overdueCount());
    return left == 0 && overdueLeft == null
        ? null
        : new MachineRequest(left, guaranteeShare, overdueLeft);
  }
}
