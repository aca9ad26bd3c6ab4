package dev.windbend.worker;

import dev.windbend.machine.HeartbeatTaskLimit;
import dev.windbend.runtime.Json;
import dev.windbend.runtime.MessageLimits;
import dev.windbend.worker.WorkerMessages.Command;
import dev.windbend.worker.WorkerMessages.Heartbeat;
import java.util.List;

/**
 * Limits the stops sent to a worker that lists more tasks than {@link HeartbeatTaskLimit} allows,
 * because a controller without that limit placed them. The state of a stopped task takes more space
 * than that of a running one, so stopping all tasks at once could make the next heartbeat too
 * large. Each acknowledged exit frees space for further stops.
 */
final class StopLimit {
  /** Space that the state of a task needs in addition once the task is stopped. */
  private static final int BYTES_PER_STOP = ",\"cause\":\"halted\",\"saved\":false".length();

  private StopLimit() {}

  /** Returns the first of the stops, as many as the next heartbeat has space for, at least one. */
  static List<Command> limit(List<Command> stops, Heartbeat heartbeat) {
    if (heartbeat.tasks().size() <= HeartbeatTaskLimit.MAX_TASKS) {
      return stops;
    }
    int freeBytes = MessageLimits.MAX_REQUEST_BYTES - Json.write(heartbeat).length;
    int maxStops = Math.max(1, freeBytes / BYTES_PER_STOP);
    return stops.size() <= maxStops ? stops : stops.subList(0, maxStops);
  }
}
