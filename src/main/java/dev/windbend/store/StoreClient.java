package dev.windbend.store;

import dev.windbend.runtime.ClientResponse;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpClient;
import dev.windbend.runtime.HttpStatus;
import dev.windbend.runtime.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the state service. Each call has a timeout and counts against this controller's share
 * of the service's two rate limits. Calls over the rate wait in bounded queues; a call is rejected
 * immediately if its queue is full. The consumer of each call receives its result exactly once, on
 * the event loop.
 */
public final class StoreClient {
  private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);
  private static final long TIMEOUT_MS = 2_000;
  private static final long LIST_TIMEOUT_MS = 3 * TIMEOUT_MS;
  private static final int LIST_PAGE_SIZE = 1_000;

  /** HTTP status of a watch from a revision whose changes the service has compacted. */
  private static final int GONE = 410;

  /** Lowest HTTP status that means that the service did not execute the call. */
  private static final int FIRST_ERROR_STATUS = 400;

  /**
   * Each controller's share of the rate limits, as a multiple of an equal share, because one
   * controller may lead most shards. If the controllers together exceed a limit, rejections by the
   * service slow them down.
   */
  private static final double RATE_SHARE_FACTOR = 2.5;

  /** Number of kinds of periodic reads; each may use an equal part of the request rate limit. */
  private static final double POLLING_READ_KINDS = 4.0;

  /** Number of conditions allowed in a transaction for each key that it may write. */
  static final int CONDITIONS_PER_WRITE = 4;

  private static final long MIN_POLL_INTERVAL_MS = 50;
  private static final double MS_PER_SECOND = 1_000;

  private final EventLoop loop;
  private final HttpClient httpClient;
  private final String address;
  private final int maxWritesPerTransaction;
  private final RequestPacer pacer;
  private final OutageTracker outages;
  private final long pollIntervalMs;

  /**
   * Creates a client of the service at the address.
   *
   * @param address host and port of the service
   * @param requestsPerSecond the service's limit on the request rate of all controllers together
   * @param writesPerSecond the service's limit on keys written per second by all controllers
   *     together
   * @param maxWritesPerTransaction how many keys a transaction may write or delete
   * @param controllers the number of controllers that share both limits
   */
  public StoreClient(
      EventLoop loop,
      HttpClient httpClient,
      String address,
      double requestsPerSecond,
      double writesPerSecond,
      int maxWritesPerTransaction,
      int controllers) {
    this.loop = loop;
    this.httpClient = httpClient;
    this.address = address;
    this.maxWritesPerTransaction = maxWritesPerTransaction;
    double share = Math.min(1.0, RATE_SHARE_FACTOR / controllers);
    this.pacer = new RequestPacer(loop, requestsPerSecond * share, writesPerSecond * share);
    this.outages = new OutageTracker(loop);
    this.pollIntervalMs =
        Math.max(
            MIN_POLL_INTERVAL_MS,
            (long) (MS_PER_SECOND * POLLING_READ_KINDS * controllers / requestsPerSecond));
  }

  /**
   * Returns the interval between periodic reads of one kind, in milliseconds, at which all kinds
   * together stay within the request rate limit.
   */
  public long pollIntervalMs() {
    return pollIntervalMs;
  }

  /** Returns how many keys a transaction may write or delete. */
  public int maxWritesPerTransaction() {
    return maxWritesPerTransaction;
  }

  /** Returns how many conditions a transaction may have. */
  public int maxConditionsPerTransaction() {
    return CONDITIONS_PER_WRITE * maxWritesPerTransaction;
  }

  /** Returns for how many milliseconds calls have been failing; 0 if the last one was answered. */
  public long failingForMs() {
    return outages.failingForMs();
  }

  /**
   * Returns the latest time at which an answered call was sent, by the monotonic clock. The service
   * was reachable at that time or later.
   */
  public long lastAnsweredSentMs() {
    return outages.lastAnsweredSentMs();
  }

  /** Reads one key. */
  public void get(String key, Consumer<ReadResult> done) {
    pacer.submit(
        RequestPacer.Lane.READS,
        0,
        () ->
            send(
                "GET",
                "/keys/" + key,
                null,
                TIMEOUT_MS,
                response -> done.accept(readResult(response))),
        () -> done.accept(ReadResult.UNAVAILABLE));
  }

  private static ReadResult readResult(ClientResponse response) {
    if (response.ok()) {
      StoreMessages.StoredKey storedKey = Json.read(response.body(), StoreMessages.StoredKey.class);
      if (storedKey != null) {
        return ReadResult.found(new VersionedValue(storedKey.value(), storedKey.version()));
      }
    }
    boolean missing =
        response.status() == HttpStatus.NOT_FOUND
            && Json.read(response.body(), StoreMessages.MissingKey.class) != null;
    return missing ? ReadResult.NOT_FOUND : ReadResult.UNAVAILABLE;
  }

  /**
   * Reads one page of the keys with the prefix.
   *
   * @param startAfter the key after which the page starts; null for the first page
   */
  public void list(String prefix, String startAfter, Consumer<ListResult> done) {
    String path =
        "/keys?prefix="
            + prefix
            + (startAfter == null ? "" : "&from=" + startAfter)
            + "&limit="
            + LIST_PAGE_SIZE;
    pacer.submit(
        RequestPacer.Lane.READS,
        0,
        () ->
            send("GET", path, null, LIST_TIMEOUT_MS, response -> done.accept(listResult(response))),
        () -> done.accept(ListResult.UNAVAILABLE));
  }

  private static ListResult listResult(ClientResponse response) {
    StoreMessages.KeyList page =
        response.ok() ? Json.read(response.body(), StoreMessages.KeyList.class) : null;
    if (page == null || page.items() == null) {
      return ListResult.UNAVAILABLE;
    }
    List<KeyValue> items = new ArrayList<>(page.items().size());
    for (StoreMessages.StoredKey storedKey : page.items()) {
      items.add(new KeyValue(storedKey.key(), storedKey.value(), storedKey.version()));
    }
    return new ListResult(true, items, page.hasMore(), page.revision());
  }

  /**
   * Commits a transaction that a user waits for or that has conditions only. It does not queue
   * behind writes of leaders.
   */
  public void commitForUser(TransactionBuilder transaction, Consumer<TransactionOutcome> done) {
    commit(
        transaction.writeCount() == 0 ? RequestPacer.Lane.READS : RequestPacer.Lane.USER_WRITES,
        transaction,
        done);
  }

  /** Commits a transaction with records of a shard's leader. */
  public void commit(TransactionBuilder transaction, Consumer<TransactionOutcome> done) {
    commit(RequestPacer.Lane.LEADER_WRITES, transaction, done);
  }

  private void commit(
      RequestPacer.Lane lane, TransactionBuilder transaction, Consumer<TransactionOutcome> done) {
    byte[] body = Json.write(transaction.build());
    int writeCount = transaction.writeCount();
    pacer.submit(
        lane,
        writeCount,
        () ->
            send(
                writeCount,
                "POST",
                "/txn",
                body,
                TIMEOUT_MS,
                response -> done.accept(outcome(response))),
        () -> done.accept(outcome(TransactionOutcome.Kind.REFUSED)));
  }

  private static TransactionOutcome outcome(ClientResponse response) {
    StoreMessages.TransactionResult result =
        response.ok() || response.status() == HttpStatus.CONFLICT
            ? Json.read(response.body(), StoreMessages.TransactionResult.class)
            : null;
    if (result != null && response.ok()) {
      return new TransactionOutcome(TransactionOutcome.Kind.APPLIED, result.revision(), List.of());
    }
    if (result != null && result.failedKeys() != null) {
      return new TransactionOutcome(
          TransactionOutcome.Kind.CONDITION_FAILED, result.revision(), result.failedKeys());
    }
    return outcome(
        response.status() >= FIRST_ERROR_STATUS
            ? TransactionOutcome.Kind.REFUSED
            : TransactionOutcome.Kind.UNKNOWN);
  }

  private static TransactionOutcome outcome(TransactionOutcome.Kind kind) {
    return new TransactionOutcome(kind, 0, List.of());
  }

  /**
   * Requests a lease. Sent without queueing, because leadership must not be delayed by other calls.
   *
   * @param termMs the time after the last renewal at which the lease expires, in milliseconds
   * @param done receives the lease's id, or empty if no lease is known to be granted
   */
  public void acquireLease(long termMs, Consumer<OptionalLong> done) {
    pacer.countUnqueuedRequest();
    send(
        "POST",
        "/holds",
        Json.write(new StoreMessages.LeaseRequest(termMs)),
        TIMEOUT_MS,
        response -> {
          StoreMessages.LeaseGrant lease =
              response.ok() ? Json.read(response.body(), StoreMessages.LeaseGrant.class) : null;
          done.accept(
              lease == null || lease.id() < 0 ? OptionalLong.empty() : OptionalLong.of(lease.id()));
        });
  }

  /** Renews a lease for its full term. Sent without queueing, like {@link #acquireLease}. */
  public void renewLease(long lease, Consumer<LeaseRenewal> done) {
    pacer.countUnqueuedRequest();
    send(
        "POST",
        "/holds/" + lease + "/renew",
        new byte[0],
        TIMEOUT_MS,
        response -> done.accept(renewal(response, lease)));
  }

  private static LeaseRenewal renewal(ClientResponse response, long lease) {
    if (response.status() == HttpStatus.NOT_FOUND) {
      return LeaseRenewal.EXPIRED;
    }
    StoreMessages.LeaseRenewed renewed =
        response.ok() ? Json.read(response.body(), StoreMessages.LeaseRenewed.class) : null;
    boolean confirmed = renewed != null && (renewed.id() == null || renewed.id() == lease);
    return confirmed ? LeaseRenewal.RENEWED : LeaseRenewal.UNKNOWN;
  }

  /**
   * Waits for changes of the keys with the prefix. Sent without queueing. Its response is delayed
   * by design, so it is not used to detect outages or to adapt the rate.
   *
   * @param fromRevision the revision after which changes are requested
   * @param blockMs the time without changes after which the service sends an empty response
   */
  void watch(String prefix, long fromRevision, long blockMs, Consumer<WatchResult> done) {
    pacer.countUnqueuedRequest();
    httpClient.call(
        address,
        "GET",
        "/follow?prefix=" + prefix + "&from=" + fromRevision + "&block_ms=" + blockMs,
        null,
        blockMs + TIMEOUT_MS,
        response -> done.accept(watchResult(response, fromRevision)));
  }

  private static WatchResult watchResult(ClientResponse response, long fromRevision) {
    StoreMessages.WatchEvents events =
        response.ok() ? Json.read(response.body(), StoreMessages.WatchEvents.class) : null;
    if (events == null || !events.isValid()) {
      WatchResult.Status status =
          response.status() == GONE ? WatchResult.Status.COMPACTED : WatchResult.Status.UNAVAILABLE;
      return new WatchResult(status, List.of(), fromRevision);
    }
    if (events.changes() == null) {
      return new WatchResult(WatchResult.Status.OK, List.of(), events.revision());
    }
    List<KeyValue> changes = new ArrayList<>(events.changes().size());
    for (StoreMessages.Write change : events.changes()) {
      changes.add(
          change.putKey() != null
              ? new KeyValue(change.putKey(), change.value(), change.version())
              : new KeyValue(change.deletedKey(), null, change.version()));
    }
    return new WatchResult(WatchResult.Status.OK, changes, events.revision());
  }

  private void send(
      String method, String path, byte[] body, long timeoutMs, Consumer<ClientResponse> done) {
    send(0, method, path, body, timeoutMs, done);
  }

  private void send(
      int writeCount,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<ClientResponse> done) {
    long sentMs = loop.nowMs();
    httpClient.call(
        address,
        method,
        path,
        body,
        timeoutMs,
        response -> {
          LOG.debug(
              "state service responded: method={} path={} status={} after_ms={}",
              method,
              path,
              response.status(),
              loop.nowMs() - sentMs);
          if (response.status() == HttpStatus.TOO_MANY_REQUESTS) {
            LOG.debug("state service rate limit exceeded: path={}", path);
            pacer.onRateLimited(writeCount > 0);
          }
          outages.onResponse(response.status(), sentMs);
          done.accept(response);
        });
  }
}
