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
 * Sends cancellations that this controller has confirmed to all others at once, so that a leader
 * whose replica lags starts no task of such a job any more. Best effort: a message that is lost is
 * made up for by the replica.
 */
public final class CancellationBroadcaster {
  /** Where controllers take one another's confirmed cancellations, by POST. */
  public static final String PATH = "/peer/cancelled";

  private static final long CALL_TIMEOUT_MS = 900;

  /** Cancellations that come within this time are sent together. */
  private static final long BATCH_INTERVAL_MS = 50;

  private final EventLoop loop;
  private final HttpClient httpClient;
  private final List<String> addresses;
  private final Cancellations cancellations;
  private final List<Cancelled> unsent = new ArrayList<>();
  private long nextBatchMs = Long.MIN_VALUE / 2;

  /**
   * A broadcaster to the controllers at these addresses.
   *
   * @param addresses the other controllers, as host and port
   * @param cancellations takes what the others send
   */
  public CancellationBroadcaster(
      EventLoop loop, HttpClient httpClient, List<String> addresses, Cancellations cancellations) {
    this.loop = loop;
    this.httpClient = httpClient;
    this.addresses = addresses;
    this.cancellations = cancellations;
  }

  /** Sends the cancellation to all other controllers. */
  public void broadcast(Cancelled cancelled) {
    if (addresses.isEmpty()) {
      return;
    }
    if (unsent.isEmpty()) {
      loop.after(Math.max(0, nextBatchMs - loop.nowMs()), this::sendBatch);
    }
    // Others learn of what is over the bound by the replica's next change, or when they ask.
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

  /** Takes cancellations that another controller has confirmed; 400 if malformed. */
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
