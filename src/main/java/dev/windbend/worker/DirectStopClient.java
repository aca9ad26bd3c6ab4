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
  private final long maxQueueTimeMs;

  private final EventLoop loop;
  private final HttpClient httpClient;
  private final ArrayDeque<QueuedStops> queue = new ArrayDeque<>();
  private int callsInProgress;

  private record QueuedStops(
      String address, WorkerMessages.DirectCommands commands, long expiresMs) {}

  /**
   * A client with an empty queue.
   *
   * @param heartbeatSeconds interval of the workers' heartbeats
   */
  public DirectStopClient(EventLoop loop, HttpClient httpClient, double heartbeatSeconds) {
    this.loop = loop;
    this.httpClient = httpClient;
    this.maxQueueTimeMs = (long) (1000 * heartbeatSeconds);
  }

  void send(Machine machine, long token, List<WorkerMessages.Command> stops) {
    if (machine.liveness().address() != null && !stops.isEmpty()) {
      send(machine.liveness().address(), token, machine.liveness().incarnation(), stops);
    }
  }

  void send(String address, long token, long incarnation, List<WorkerMessages.Command> stops) {
    if (queue.size() < MAX_QUEUED) {
      WorkerMessages.DirectCommands commands =
          new WorkerMessages.DirectCommands(token, incarnation, stops);
      queue.add(new QueuedStops(address, commands, loop.nowMs() + maxQueueTimeMs));
      sendQueued();
    }
  }

  private void sendQueued() {
    while (callsInProgress < MAX_CALLS_IN_PROGRESS && !queue.isEmpty()) {
      QueuedStops next = queue.poll();
      if (loop.nowMs() < next.expiresMs()) {
        callsInProgress++;
        httpClient.call(
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
