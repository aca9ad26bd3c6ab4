package dev.windbend.peer;

import dev.windbend.job.Cancellations;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpClient;
import dev.windbend.runtime.HttpStatus;
import dev.windbend.runtime.Json;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import dev.windbend.store.StoreClient;
import java.util.Arrays;
import java.util.List;

/**
 * Distinguishes an outage of the state service from a partition that isolates this controller. A
 * failed call alone does not show which of the two occurred, so while calls to the state service
 * fail, this controller asks the other controllers whether the service answers them. The detector
 * also limits how long workers' leases may be renewed without the state service.
 */
public final class StoreOutageDetector {
  /** Path at which controllers answer status requests of other controllers, by POST. */
  public static final String PATH = "/peer/store";

  /** Failures that last no longer than this are not treated as an outage. */
  private static final long OUTAGE_THRESHOLD_MS = 700;

  private static final long POLL_INTERVAL_MS = 1_000;
  private static final long CALL_TIMEOUT_MS = 900;

  /**
   * The state service is considered to serve another controller if it answered that controller
   * within this time.
   */
  private static final long SERVED_RECENTLY_MS = 1_500;

  /** Time for which the status of another controller is considered current. */
  private static final long STATUS_VALID_MS = 2 * POLL_INTERVAL_MS + SERVED_RECENTLY_MS;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  /**
   * Allowance for the time that a worker needs to detect the expiry of its lease and kill its
   * tasks.
   */
  private static final long KILL_DELAY_MS = 900;

  private static final double MS_PER_SECOND = 1_000;

  private final EventLoop loop;
  private final HttpClient httpClient;
  private final StoreClient store;
  private final List<String> addresses;
  private final long leaseRenewalWindowMs;
  private final Cancellations cancellations;
  private long peerServedMs = NEVER_MS;
  private long lastStatusMs = NEVER_MS;

  /**
   * For each other controller, when the newest status request was sent to which that controller
   * responded with all cancellations confirmed to its users and unknown to this controller.
   */
  private final long[] cancellationsKnownMs;

  /**
   * Creates a detector that sends no requests until it is started.
   *
   * @param addresses addresses of the other controllers, as host and port
   * @param leaseRenewalWindowMs result of {@link #leaseRenewalWindowMs(double, double)}
   * @param cancellations cancellations known to this controller; receives those reported by others
   */
  public StoreOutageDetector(
      EventLoop loop,
      HttpClient httpClient,
      StoreClient store,
      List<String> addresses,
      long leaseRenewalWindowMs,
      Cancellations cancellations) {
    this.loop = loop;
    this.httpClient = httpClient;
    this.store = store;
    this.addresses = addresses;
    this.leaseRenewalWindowMs = leaseRenewalWindowMs;
    this.cancellations = cancellations;
    this.cancellationsKnownMs = new long[addresses.size()];
    Arrays.fill(cancellationsKnownMs, NEVER_MS);
  }

  /**
   * Computes how long heartbeat responses may renew workers' leases without confirmed leadership,
   * in milliseconds since this controller last knew all cancellations. The limit makes the leases
   * expire before the tasks of a cancelled job must have terminated.
   *
   * <p>A job cancelled at the start of the window must have no task {@code cancelSeconds} later.
   * The last response extends a lease to {@code leaseSeconds} after its heartbeat was sent, which
   * is before the window ends. Clock drift and the time to kill the tasks are subtracted. Delays of
   * heartbeats, responses and status requests need no allowance, because all times count from
   * sending.
   *
   * @return 0 or less if leases must never be renewed this way
   */
  public static long leaseRenewalWindowMs(double leaseSeconds, double cancelSeconds) {
    return (long)
            (MS_PER_SECOND
                * (cancelSeconds * (1 - EventLoop.CLOCK_DRIFT)
                    - leaseSeconds * (1 + EventLoop.CLOCK_DRIFT)))
        - KILL_DELAY_MS;
  }

  /**
   * Starts to request the status of the other controllers periodically while calls to the state
   * service fail.
   */
  public void start() {
    loop.every(POLL_INTERVAL_MS, this::pollPeers);
  }

  /**
   * Whether the state service recently served another controller while it failed this one, which
   * rules out a general outage.
   */
  public boolean anyPeerServed() {
    return store.failingForMs() > OUTAGE_THRESHOLD_MS
        && loop.nowMs() - peerServedMs < STATUS_VALID_MS;
  }

  /**
   * Whether heartbeat responses may renew workers' leases although this controller cannot confirm
   * its leadership and cannot know what other controllers do. Always true without other
   * controllers; false while the state service serves another controller.
   *
   * <p>Controllers inside one partition reach one another and may mistake the partition for a
   * general outage, while the controllers outside accept cancellations. Renewal is therefore
   * limited to a fixed window after this controller last knew all cancellations, whichever
   * controllers respond. That time is the later of two: the sending of the watch request that was
   * answered last, and the sending of the newest status requests to which every other controller
   * responded with all cancellations confirmed to its users and unknown to this controller. In a
   * general outage every controller responds, the window keeps moving and tasks continue to run.
   */
  public boolean mayRenewWorkerLeases() {
    if (addresses.isEmpty()) {
      return true;
    }
    long knownFromAllPeersMs = Arrays.stream(cancellationsKnownMs).min().getAsLong();
    return !anyPeerServed()
        && loop.nowMs() - Math.max(cancellations.completeUntilMs(), knownFromAllPeersMs)
            <= leaseRenewalWindowMs;
  }

  /** Whether neither the state service nor any other controller has answered recently. */
  public boolean isolated() {
    return store.failingForMs() > STATUS_VALID_MS
        && !addresses.isEmpty()
        && loop.nowMs() - lastStatusMs >= STATUS_VALID_MS;
  }

  /** Responds to a status request of another controller; status 400 if the request is malformed. */
  public ServerResponse handle(ServerRequest request) {
    PeerMessages.StoreStatusRequest message =
        Json.read(request.body(), PeerMessages.StoreStatusRequest.class);
    if (message == null) {
      return ServerResponse.ofStatus(HttpStatus.BAD_REQUEST);
    }
    return ServerResponse.of(
        HttpStatus.OK,
        new PeerMessages.StoreStatus(
            loop.nowMs() - store.lastAnsweredSentMs(),
            cancellations.listSince(message.knownUpTo())));
  }

  private void pollPeers() {
    if (store.failingForMs() <= OUTAGE_THRESHOLD_MS) {
      peerServedMs = NEVER_MS;
      return;
    }
    byte[] body =
        Json.write(new PeerMessages.StoreStatusRequest(cancellations.completeUpToRevision()));
    for (int i = 0; i < addresses.size(); i++) {
      int peer = i;
      long sentMs = loop.nowMs();
      httpClient.call(
          addresses.get(i),
          "POST",
          PATH,
          body,
          CALL_TIMEOUT_MS,
          reply -> {
            PeerMessages.StoreStatus status =
                reply.ok() ? Json.read(reply.body(), PeerMessages.StoreStatus.class) : null;
            if (status != null) {
              recordStatus(peer, sentMs, status);
            }
          });
    }
  }

  private void recordStatus(int peer, long sentMs, PeerMessages.StoreStatus status) {
    lastStatusMs = loop.nowMs();
    if (status.cancelled() != null) {
      cancellations.addFromPeers(status.cancelled());
      cancellationsKnownMs[peer] = sentMs;
    }
    if (status.lastServedMsAgo() < SERVED_RECENTLY_MS
        && store.failingForMs() > SERVED_RECENTLY_MS) {
      peerServedMs = loop.nowMs();
    }
  }
}
