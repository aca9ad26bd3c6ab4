package dev.windbend.peer;

import java.util.function.Consumer;

/** Requests machines from the leaders of the other shards. */
public interface MachineRequester {
  /**
   * Asks the leaders one after another until the request is met or every leader has been asked.
   *
   * @param shard the shard that lacks machines
   * @param onComplete called once with the sum of all replies
   */
  void request(
      int shard,
      MachineTransferMessages.Request request,
      Consumer<MachineTransferMessages.Reply> onComplete);
}
