package dev.windbend.peer;

import java.util.function.Consumer;

/** Asks the leaders of the other shards for machines. */
public interface MachineRequester {
  /**
   * Asks them one after the other until the request is met.
   *
   * @param shard the shard that lacks machines
   * @param onComplete called once with what is coming of all together
   */
  void request(
      int shard,
      MachineTransferMessages.Request request,
      Consumer<MachineTransferMessages.Reply> onComplete);
}
