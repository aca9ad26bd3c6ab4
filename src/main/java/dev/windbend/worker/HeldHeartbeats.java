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
  private final Map<Machine, Held> byMachine = new LinkedHashMap<>();

  /** What a held response waits for. */
  enum Awaited {
    /** The placements on the machine being written, so that their starts may go out. */
    WRITE,
    /** A task being placed on the machine, which has nothing to do. */
    WORK
  }

  /** A heartbeat whose response waits. */
  record Held(
      Machine machine,
      WorkerMessages.Heartbeat heartbeat,
      Awaited awaited,
      Consumer<ServerResponse> responseTarget) {}

  HeldHeartbeats(EventLoop loop) {
    this.loop = loop;
  }

  /** Holds a response for so long at most, after which the heartbeat goes to the callback. */
  void hold(Held held, long holdMs, Consumer<Held> expired) {
    byMachine.put(held.machine(), held);
    loop.after(
        holdMs,
        () -> {
          if (byMachine.remove(held.machine(), held)) {
            expired.accept(held);
          }
        });
  }

  /** Holds the machine's heartbeat no more; null: it held none. */
  Held release(Machine machine) {
    return byMachine.remove(machine);
  }

  /** Passes on the heartbeats that are ready now, in the order in which they came. */
  void releaseIf(Predicate<Held> ready, Consumer<Held> respond) {
    if (byMachine.isEmpty()) {
      return;
    }
    List<Held> chosen = new ArrayList<>();
    for (Held held : byMachine.values()) {
      if (ready.test(held)) {
        chosen.add(held);
      }
    }
    for (Held held : chosen) {
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
                held.responseTarget()
                    .accept(ServerResponse.ofStatus(HttpStatus.SERVICE_UNAVAILABLE)));
    byMachine.clear();
  }
}
