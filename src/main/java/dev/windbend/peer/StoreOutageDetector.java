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
 * While the state service fails this controller, asks the others whether it serves them: a failing
 * call alone does not tell an outage of the service from a partition that cuts this controller off.
 * Bounds for how long workers may be kept without the state service.
 */
public final class StoreOutageDetector {
  /** Where controllers ask one another, by POST. */
  public static final String PATH = "/peer/store";

  /** Failing for no longer than this is no outage. */
  private static final long OUTAGE_THRESHOLD_MS = 700;

  private static final long POLL_INTERVAL_MS = 1_000;
  private static final long CALL_TIMEOUT_MS = 900;

  /** Another controller that was served within this time is being served. */
  private static final long SERVED_RECENTLY_MS = 1_500;

  /** An answer of another controller counts for this long. */
  private static final long STATUS_VALID_MS = 2 * POLL_INTERVAL_MS + SERVED_RECENTLY_MS;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  /** Until a worker sees that its lease has expired, and its tasks are killed. */
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
   * For each other controller, when the newest request was sent to which it answered with all
   * cancellations that its users know of and this controller did not.
   */
  private final long[] cancellationsKnownMs;

  /**
   * A detector that asks nobody until it is started.
   *
   * @param addresses the other controllers, as host and port
   * @param leaseRenewalWindowMs {@link #leaseRenewalWindowMs(double, double)}
   * @param cancellations what this controller knows of cancellations; takes what others answer
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
   * For how many milliseconds after all cancellations were known workers may be kept by heartbeat
   * responses without commands, so that their leases expire before the tasks of a cancelled job
   * have to be gone. A job cancelled right then must have no task {@code cancelSeconds} later; the
   * last response keeps a lease for {@code leaseSeconds} from when its heartbeat was sent, which
   * was before; clocks drift, and the kill takes its time. Nothing else counts: how long a
   * heartbeat, a response or a question to another controller took is within, as all count from
   * when they were sent. Not above 0: workers are not kept at all.
   */
  public static long leaseRenewalWindowMs(double leaseSeconds, double cancelSeconds) {
    return (long)
            (MS_PER_SECOND
                * (cancelSeconds * (1 - EventLoop.CLOCK_DRIFT)
                    - leaseSeconds * (1 + EventLoop.CLOCK_DRIFT)))
        - KILL_DELAY_MS;
  }

  /** Asks the others from now on, again and again while the state service fails. */
  public void start() {
    loop.every(POLL_INTERVAL_MS, this::pollPeers);
  }

  /** Another controller was served a moment ago, while this one was not: it is no outage. */
  public boolean anyPeerServed() {
    return store.failingForMs() > OUTAGE_THRESHOLD_MS
        && loop.nowMs() - peerServedMs < STATUS_VALID_MS;
  }

  /**
   * Whether workers may be kept by heartbeat responses without commands though it can't be known
   * what other controllers do. Controllers that are cut off together hear one another and may take
   * it for a general outage, while the rest accept cancellations. So it is bounded, whoever is
   * heard, from when all cancellations were known last: when the watch that was answered last was
   * sent, or when the newest requests were sent to which every other controller answered with all
   * cancellations that its users know of and this one did not. That is a general outage, and all
   * work goes on through it.
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

  /** Neither the state service nor any other controller answers. */
  public boolean isolated() {
    return store.failingForMs() > STATUS_VALID_MS
        && !addresses.isEmpty()
        && loop.nowMs() - lastStatusMs >= STATUS_VALID_MS;
  }

  /** Answers another controller's request; 400 if malformed. */
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
