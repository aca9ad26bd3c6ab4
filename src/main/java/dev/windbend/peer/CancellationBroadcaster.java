package dev.windbend.peer;

import dev.windbend.job.Cancellations;
import dev.windbend.job.Cancellations.Cancelled;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpClient;
import dev.windbend.runtime.HttpStatus;
import dev.windbend.runtime.Json;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Sends confirmed cancellations to all other controllers immediately, so that a leader whose
 * replica lags starts no further tasks of a cancelled job. Delivery is best effort: the replica
 * later supplies any cancellation whose message is lost.
 */
public final class CancellationBroadcaster {
  /** Path at which controllers accept confirmed cancellations of other controllers, by POST. */
  public static final String PATH = "/peer/cancelled";

  private static final long CALL_TIMEOUT_MS = 900;

  /** Minimum interval between two batches; cancellations confirmed within it are sent together. */
  private static final long BATCH_INTERVAL_MS = 50;

  private final EventLoop loop;
  private final HttpClient httpClient;
  private final List<String> addresses;
  private final Cancellations cancellations;
  private final List<Cancelled> unsent = new ArrayList<>();
  private long nextBatchMs = Long.MIN_VALUE / 2;

  /**
   * Creates a broadcaster to the other controllers.
   *
   * @param addresses addresses of the other controllers, as host and port
   * @param cancellations receives the cancellations that other controllers send
   */
  public CancellationBroadcaster(
      EventLoop loop, HttpClient httpClient, List<String> addresses, Cancellations cancellations) {
    this.loop = loop;
    this.httpClient = httpClient;
    this.addresses = addresses;
    this.cancellations = cancellations;
  }

  /** Queues the cancellation for the next batch to all other controllers. */
  public void broadcast(Cancelled cancelled) {
    if (addresses.isEmpty()) {
      return;
    }
    if (unsent.isEmpty()) {
      loop.after(Math.max(0, nextBatchMs - loop.nowMs()), this::sendBatch);
    }
    // The other controllers receive cancellations above the limit with the next update of their
    // replica, or in response to a status request.
    if (unsent.size() < Cancellations.MAX_LISTED) {
      unsent.add(cancelled);
    }
  }

  private void sendBatch() {
    byte[] body = Json.write(new PeerMessages.ConfirmedCancellations(List.copyOf(unsent)));
    unsent.clear();
    nextBatchMs = loop.nowMs() + BATCH_INTERVAL_MS;
    for (String address : addresses) {
      httpClient.call(address, "POST", PATH, body, CALL_TIMEOUT_MS, reply -> {});
    }
  }

  /**
   * Records cancellations that another controller has confirmed. Responds with status 400 if the
   * request is malformed.
   */
  public ServerResponse handle(ServerRequest request) {
    PeerMessages.ConfirmedCancellations message =
        Json.read(request.body(), PeerMessages.ConfirmedCancellations.class);
    if (message == null
        || message.cancelled() == null
        || message.cancelled().stream().anyMatch(Objects::isNull)) {
      return ServerResponse.ofStatus(HttpStatus.BAD_REQUEST);
    }
    cancellations.addFromPeers(message.cancelled());
    return ServerResponse.ofStatus(HttpStatus.OK);
  }
}
