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
 * Calls the state service, each with a time-out, under this controller's part of both rate limits.
 * Calls that must wait for the rate queue up to a bound; over it they are refused at once. Each
 * call's consumer gets its result exactly once, on the event loop.
 */
public final class StoreClient {
  private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);
  private static final long TIMEOUT_MS = 2_000;
  private static final long LIST_TIMEOUT_MS = 3 * TIMEOUT_MS;
  private static final int LIST_PAGE_SIZE = 1_000;

  /** The status of a watch from a revision whose changes the service no longer keeps. */
  private static final int GONE = 410;

  /** From this status on the service says that it did not carry out the call. */
  private static final int FIRST_ERROR_STATUS = 400;

  /**
   * One controller may lead most shards, so each may use this many times an even part of the rate
   * limits; where that is too much together, refusals slow the controllers down.
   */
  private static final double RATE_SHARE_FACTOR = 2.5;

  /** Kinds of reads that go on and on; each may take an even part of the rate limit. */
  private static final double POLLING_READ_KINDS = 4.0;

  /** A transaction may have this many conditions for each key that it may write. */
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
   * A client of the service at the address.
   *
   * @param address host and port
   * @param requestsPerSecond the service's rate limit on all calls of all controllers
   * @param writesPerSecond its rate limit on keys written, of all controllers
   * @param controllers how many controllers share both limits
   */
  public StoreClient(
      EventLoop loop,
      HttpClient web,
      String address,
      double requestsPerSecond,
      double writesPerSecond,
      int maxWritesPerTransaction,
      int controllers) {
    this.loop = loop;
    this.httpClient = web;
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

  /** Pause between reads of a kind that goes on and on, so that all kinds fit the rate limit. */
  public long pollIntervalMs() {
    return pollIntervalMs;
  }

  /** How many keys a transaction may write or delete. */
  public int maxWritesPerTransaction() {
    return maxWritesPerTransaction;
  }

  /** How many keys a transaction may compare. */
  public int maxConditionsPerTransaction() {
    return CONDITIONS_PER_WRITE * maxWritesPerTransaction;
  }

  /** For how long no call has been answered, in milliseconds; 0 if the last one was. */
  public long failingForMs() {
    return outages.failingForMs();
  }

  /**
   * When the newest of the calls that were answered was sent, by the monotonic clock: the service
   * served this controller then, or later.
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
            send("GET", "/keys/" + key, null, TIMEOUT_MS, reply -> done.accept(readResult(reply))),
        () -> done.accept(ReadResult.UNAVAILABLE));
  }

  private static ReadResult readResult(ClientResponse reply) {
    if (reply.ok()) {
      StoreMessages.StoredKey pair = Json.read(reply.body(), StoreMessages.StoredKey.class);
      if (pair != null) {
        return ReadResult.found(new VersionedValue(pair.value(), pair.version()));
      }
    }
    return reply.status() == HttpStatus.NOT_FOUND ? ReadResult.NOT_FOUND : ReadResult.UNAVAILABLE;
  }

  /**
   * Reads one page of the keys with the prefix.
   *
   * @param from the key that the page starts after; null: the first page
   */
  public void list(String prefix, String from, Consumer<ListResult> done) {
    String path =
        "/keys?prefix="
            + prefix
            + (from == null ? "" : "&from=" + from)
            + "&limit="
            + LIST_PAGE_SIZE;
    pacer.submit(
        RequestPacer.Lane.READS,
        0,
        () -> send("GET", path, null, LIST_TIMEOUT_MS, reply -> done.accept(listResult(reply))),
        () -> done.accept(ListResult.UNAVAILABLE));
  }

  private static ListResult listResult(ClientResponse reply) {
    StoreMessages.KeyList page =
        reply.ok() ? Json.read(reply.body(), StoreMessages.KeyList.class) : null;
    if (page == null || page.items() == null) {
      return ListResult.UNAVAILABLE;
    }
    List<KeyValue> items = new ArrayList<>(page.items().size());
    for (StoreMessages.StoredKey pair : page.items()) {
      items.add(new KeyValue(pair.key(), pair.value(), pair.version()));
    }
    return new ListResult(true, items, page.hasMore(), page.revision());
  }

  /** Commits what a user waits for, or only compares: does not wait behind leaders' writes. */
  public void commitForUser(TransactionBuilder transaction, Consumer<TransactionOutcome> done) {
    commit(
        transaction.writeCount() == 0 ? RequestPacer.Lane.READS : RequestPacer.Lane.USER_WRITES,
        transaction,
        done);
  }

  /** Commits a leader's records. */
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
                writeCount, "POST", "/txn", body, TIMEOUT_MS, reply -> done.accept(outcome(reply))),
        () -> done.accept(outcome(TransactionOutcome.Kind.REFUSED)));
  }

  private static TransactionOutcome outcome(ClientResponse reply) {
    StoreMessages.TransactionResult result =
        reply.ok() || reply.status() == HttpStatus.CONFLICT
            ? Json.read(reply.body(), StoreMessages.TransactionResult.class)
            : null;
    if (result != null && reply.ok()) {
      return new TransactionOutcome(TransactionOutcome.Kind.APPLIED, result.revision(), List.of());
    }
    if (result != null && result.failedKeys() != null) {
      return new TransactionOutcome(
          TransactionOutcome.Kind.CONDITION_FAILED, result.revision(), result.failedKeys());
    }
    return outcome(
        reply.status() >= FIRST_ERROR_STATUS
            ? TransactionOutcome.Kind.REFUSED
            : TransactionOutcome.Kind.UNKNOWN);
  }

  private static TransactionOutcome outcome(TransactionOutcome.Kind kind) {
    return new TransactionOutcome(kind, 0, List.of());
  }

  /**
   * Asks for a lease. Not queued: leadership must not wait behind other calls.
   *
   * @param done takes the lease's id; empty: none was granted, as far as is known
   */
  public void acquireLease(long termMs, Consumer<OptionalLong> done) {
    pacer.countUnqueuedRequest();
    send(
        "POST",
        "/holds",
        Json.write(new StoreMessages.LeaseRequest(termMs)),
        TIMEOUT_MS,
        reply -> {
          StoreMessages.LeaseGrant lease =
              reply.ok() ? Json.read(reply.body(), StoreMessages.LeaseGrant.class) : null;
          done.accept(
              lease == null || lease.id() < 0 ? OptionalLong.empty() : OptionalLong.of(lease.id()));
        });
  }

  /** Renews a lease for its term. Not queued either. */
  public void renewLease(long lease, Consumer<LeaseRenewal> done) {
    pacer.countUnqueuedRequest();
    send(
        "POST",
        "/holds/" + lease + "/renew",
        new byte[0],
        TIMEOUT_MS,
        reply ->
            done.accept(
                switch (reply.status()) {
                  case HttpStatus.OK -> LeaseRenewal.RENEWED;
                  case HttpStatus.NOT_FOUND -> LeaseRenewal.EXPIRED;
                  default -> LeaseRenewal.UNKNOWN;
                }));
  }

  /**
   * Waits for changes of the keys with the prefix. Not queued, and no sign of an outage or of the
   * rate, as its answer comes late by design.
   *
   * @param fromRevision changes after it are asked for
   * @param blockMs the service answers with no changes if there are none for so long
   */
  void watch(String prefix, long fromRevision, long blockMs, Consumer<WatchResult> done) {
    pacer.countUnqueuedRequest();
    httpClient.call(
        address,
        "GET",
        "/follow?prefix=" + prefix + "&from=" + fromRevision + "&block_ms=" + blockMs,
        null,
        blockMs + TIMEOUT_MS,
        reply -> done.accept(watchResult(reply, fromRevision)));
  }

  private static WatchResult watchResult(ClientResponse reply, long fromRevision) {
    StoreMessages.WatchEvents events =
        reply.ok() ? Json.read(reply.body(), StoreMessages.WatchEvents.class) : null;
    if (events == null) {
      WatchResult.Status status =
          reply.status() == GONE ? WatchResult.Status.COMPACTED : WatchResult.Status.UNAVAILABLE;
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
        reply -> {
          if (reply.status() == HttpStatus.TOO_MANY_REQUESTS) {
            LOG.debug("store call rate-limited: path={}", path);
            pacer.onRateLimited(writeCount > 0);
          }
          outages.onResponse(reply.status(), sentMs);
          done.accept(reply);
        });
  }
}
