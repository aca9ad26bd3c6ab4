package dev.windbend.worker;

import dev.windbend.machine.Machine;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpClient;
import dev.windbend.runtime.Json;
import dev.windbend.runtime.MessageLimits;
import java.util.ArrayDeque;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends stop commands for tasks of cancelled jobs directly to workers. The response to the next
 * heartbeat would carry them seconds later, and would never reach a worker that has lost contact
 * with all controllers.
 *
 * <p>A direct stop requires no valid leader lease and may arrive late: no attempt of a cancelled
 * job is needed again, and the fencing token protects against a stale sender. Delivery is best
 * effort: the next heartbeat response repeats each stop that is lost or discarded here.
 */
public final class DirectStopClient {
  private static final Logger LOG = LoggerFactory.getLogger(DirectStopClient.class);
  static final String PATH = "/commands";
  private static final long CALL_TIMEOUT_MS = 2_000;
  private static final int MAX_CALLS_IN_PROGRESS = 12;

  /**
   * Limit of the queue: one request per machine for twice a fleet of 4,000 machines. Cancelling a
   * large array job can require a stop on every machine.
   */
  private static final int MAX_QUEUED = 8_000;

  /**
   * Maximum time in the queue, one heartbeat interval. Older entries are discarded, because the
   * worker has received a heartbeat response since.
   */
  private final long maxQueueTimeMs;

  private final EventLoop loop;
  private final HttpClient httpClient;
  private final ArrayDeque<QueuedStops> queue = new ArrayDeque<>();
  private int callsInProgress;

  private record QueuedStops(
      String address, WorkerMessages.DirectCommands commands, long expiresMs) {}

  /**
   * Creates a client with an empty queue.
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
    LOG.debug(
        "stopping tasks directly: address={} stops={} token={}", address, stops.size(), token);
    long expiresMs = loop.nowMs() + maxQueueTimeMs;
    for (List<WorkerMessages.Command> part :
        CommandBatch.divide(stops, MessageLimits.MAX_REQUEST_BYTES)) {
      if (queue.size() < MAX_QUEUED) {
        queue.add(
            new QueuedStops(
                address, new WorkerMessages.DirectCommands(token, incarnation, part), expiresMs));
      }
    }
    sendQueued();
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
