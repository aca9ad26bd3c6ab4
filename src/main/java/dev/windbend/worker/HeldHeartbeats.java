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

/**
 * Heartbeats whose responses are held until a write completes or a task is placed; at most one per
 * machine.
 */
final class HeldHeartbeats {
  private final EventLoop loop;
  private final Map<Machine, HeldHeartbeat> byMachine = new LinkedHashMap<>();

  /** The event that a held response waits for. */
  enum Awaited {
    /** Storage of the machine's placements, after which the starts may be sent. */
    PLACEMENT_WRITE,
    /** Placement of a task on the machine, which has no pending command. */
    TASK_PLACEMENT
  }

  /** A heartbeat whose response is held. */
  record HeldHeartbeat(
      Machine machine,
      WorkerMessages.Heartbeat heartbeat,
      Awaited awaited,
      Consumer<ServerResponse> responseCallback) {}

  HeldHeartbeats(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Holds a heartbeat until it is released, or until {@code holdMs} have passed; in the latter case
   * the callback receives the heartbeat.
   */
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

  /** Releases the machine's held heartbeat; returns null if there is none. */
  HeldHeartbeat release(Machine machine) {
    return byMachine.remove(machine);
  }

  /**
   * Releases the heartbeats that are ready, in order of arrival, and passes them to the callback.
   */
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
      // A response sent earlier in this loop may have released the heartbeat.
      if (byMachine.remove(held.machine(), held)) {
        respond.accept(held);
      }
    }
  }

  /** Answers all held heartbeats with status 503 and releases them. */
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
