package dev.windbend.worker;

import dev.windbend.machine.Machine;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpClient;
import dev.windbend.runtime.Json;
import java.util.ArrayDeque;
import java.util.List;

/**
 * Tells machines at once to stop tasks of cancelled jobs, instead of with the answer to their next
 * report: that comes seconds later, and not at all from a machine that reaches no node. It needs no
 * lease and may land late: an attempt of a cancelled job is never wanted again, and the token
 * fences it. Nothing relies on it; what is lost or dropped here the next answer says again.
 */
public final class DirectStopClient {
  static final String PATH = "/commands";
  private static final long LIMIT_MS = 2_000;
  private static final int MOST_AT_ONCE = 12;

  /** One stop for each machine of a fleet twice as large as 4,000: a huge array is cancelled. */
  private static final int MOST_WAITING = 8_000;

  /** Older than that, the machine has reported and been answered. */
  private final long staleMs;

  private final EventLoop loop;
  private final HttpClient web;
  private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
  private int inProgress;

  private record Waiting(String address, WorkerMessages.Commands commands, long untilMs) {}

  public DirectStopClient(EventLoop loop, HttpClient web, double reportS) {
    this.loop = loop;
    this.web = web;
    this.staleMs = (long) (1000 * reportS);
  }

  void send(Machine m, long token, List<WorkerMessages.Order> stops) {
    if (m.address() != null && !stops.isEmpty()) {
      send(m.address(), token, m.incarnation(), stops);
    }
  }

  void send(String address, long token, long session, List<WorkerMessages.Order> stops) {
    if (waiting.size() < MOST_WAITING) {
      WorkerMessages.Commands commands = new WorkerMessages.Commands(token, session, stops);
      waiting.add(new Waiting(address, commands, loop.nowMs() + staleMs));
      next();
    }
  }

  private void next() {
    while (inProgress < MOST_AT_ONCE && !waiting.isEmpty()) {
      Waiting w = waiting.poll();
      if (loop.nowMs() < w.untilMs()) {
        inProgress++;
        web.call(
            w.address(),
            "POST",
            PATH,
            Json.write(w.commands()),
            LIMIT_MS,
            reply -> {
              inProgress--;
              next();
            });
      }
    }
  }
}
