package dev.windbend.worker;

import dev.windbend.machine.Machine;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpStatus;
import dev.windbend.runtime.ServerResponse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Heartbeats whose responses wait for a write, or for work: at most one of each machine. */
final class HeldHeartbeats {
  private final EventLoop loop;
  private final Map<Machine, HeldHeartbeat> byMachine = new LinkedHashMap<>();

  /** What a held response waits for. */
  enum Awaited {
    /** The placements on the machine being written, so that their starts may go out. */
    PLACEMENT_WRITE,
    /** A task being placed on the machine, which has nothing to do. */
    TASK_PLACEMENT
  }

  /** A heartbeat whose response waits. */
  record HeldHeartbeat(
      Machine machine,
      WorkerMessages.Heartbeat heartbeat,
      Awaited awaited,
      Consumer<ServerResponse> responseCallback) {}

  HeldHeartbeats(EventLoop loop) {
    this.loop = loop;
  }

  /** Holds a response for so long at most, after which the heartbeat goes to the callback. */
  void hold(HeldHeartbeat held, long holdMs, Consumer<HeldHeartbeat> onExpiry) {
    byMachine.put(held.machine(), held);
    loop.after(
        holdMs,
        () -> {
          if (byMachine.remove(held.machine(), held)) {
            onExpiry.accept(held);
          }
        });
  }

  /** Holds the machine's heartbeat no more; null: it held none. */
  HeldHeartbeat release(Machine machine) {
    return byMachine.remove(machine);
  }

  /** Passes on the heartbeats that are ready now, in the order in which they came. */
  void releaseIf(Predicate<HeldHeartbeat> isReady, Consumer<HeldHeartbeat> respond) {
    if (byMachine.isEmpty()) {
      return;
    }
    List<HeldHeartbeat> releasable = new ArrayList<>();
    for (HeldHeartbeat held : byMachine.values()) {
      if (isReady.test(held)) {
        releasable.add(held);
      }
    }
    for (HeldHeartbeat held : releasable) {
      // A response sent meanwhile may have released it.
      if (byMachine.remove(held.machine(), held)) {
        respond.accept(held);
      }
    }
  }

  /** Refuses all that are held. */
  void close() {
    byMachine
        .values()
        .forEach(
            held ->
                held.responseCallback()
                    .accept(ServerResponse.ofStatus(HttpStatus.SERVICE_UNAVAILABLE)));
    byMachine.clear();
  }
}
