package dev.windbend.worker;

import dev.windbend.machine.Machine;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpClient;
import dev.windbend.runtime.Json;
import java.util.ArrayDeque;
import java.util.List;

/**
 * Has workers stop the tasks of cancelled jobs at once, instead of with the response to their next
 * heartbeat: that comes seconds later, and not at all to a worker that reaches no controller. It
 * needs no lease and may land late: an attempt of a cancelled job is never wanted again, and the
 * token fences it. Nothing relies on it; what is lost or discarded here the next response repeats.
 */
public final class DirectStopClient {
  static final String PATH = "/commands";
  private static final long CALL_TIMEOUT_MS = 2_000;
  private static final int MAX_CALLS_IN_PROGRESS = 12;

  /** One stop for each machine of a fleet twice as large as 4,000: a huge array is cancelled. */
  private static final int MAX_QUEUED = 8_000;

  /** What has waited for longer is discarded: the worker has had a response since. */
  private final long queuedMaxMs;

  private final EventLoop loop;
  private final HttpClient web;
  private final ArrayDeque<QueuedStops> queue = new ArrayDeque<>();
  private int callsInProgress;

  private record QueuedStops(String address, WorkerMessages.Commands commands, long untilMs) {}

  /**
   * A client with an empty queue.
   *
   * @param heartbeatSeconds interval of the workers' heartbeats
   */
  public DirectStopClient(EventLoop loop, HttpClient web, double heartbeatSeconds) {
    this.loop = loop;
    this.web = web;
    this.queuedMaxMs = (long) (1000 * heartbeatSeconds);
  }

  void send(Machine machine, long token, List<WorkerMessages.Order> stops) {
    if (machine.liveness().address() != null && !stops.isEmpty()) {
      send(machine.liveness().address(), token, machine.liveness().incarnation(), stops);
    }
  }

  void send(String address, long token, long incarnation, List<WorkerMessages.Order> stops) {
    if (queue.size() < MAX_QUEUED) {
      WorkerMessages.Commands commands = new WorkerMessages.Commands(token, incarnation, stops);
      queue.add(new QueuedStops(address, commands, loop.nowMs() + queuedMaxMs));
      sendQueued();
    }
  }

  private void sendQueued() {
    while (callsInProgress < MAX_CALLS_IN_PROGRESS && !queue.isEmpty()) {
      QueuedStops next = queue.poll();
      if (loop.nowMs() < next.untilMs()) {
        callsInProgress++;
        web.call(
            next.address(),
            "POST",
            PATH,
            Json.write(next.commands()),
            CALL_TIMEOUT_MS,
            reply -> {
              callsInProgress--;
              sendQueued();
            });
      }
    }
  }
}
