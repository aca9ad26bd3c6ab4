package dev.windbend.store;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.runtime.ClientResponse;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpClient;
import dev.windbend.runtime.Json;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Calls the state service, each with a time-out, under this node's part of both rate limits. Calls
 * that must wait for the rate queue up to a bound; over it they are refused at once.
 */
public final class StoreClient {
  private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);
  private static final long LIMIT_MS = 2_000;
  private static final int QUEUE = 400;

  private final EventLoop loop;
  private final HttpClient web;
  private final String address;
  private final int ops;
  private final Rate reads;
  private final Rate writes;
  private final ArrayDeque<Waiting> first = new ArrayDeque<>();
  private final ArrayDeque<Waiting> later = new ArrayDeque<>();
  private final ArrayDeque<Waiting> asking = new ArrayDeque<>();
  private final long pauseMs;
  private boolean pumping;
  private boolean usersTurn = true;
  private long pumpAtMs = Long.MAX_VALUE;
  private long servedMs = Long.MIN_VALUE / 2;
  private long firstFailMs = -1;

  private record Waiting(int writeCost, Runnable send, Runnable refuse) {}

  /** What a read found. Status 404 is an answer too; anything else but 200 is none. */
  public record Got(int status, VersionedValue stored) {
    public boolean sure() {
      return status == 200 || status == 404;
    }
  }

  public record Listed(boolean ok, List<Item> items, boolean more, long revision) {}

  /** A pair of a listing or an event; a null value in an event means the key was removed. */
  public record Item(String key, JsonNode value, long version) {}

  public record Followed(int status, List<Item> events, long revision) {}

  public StoreClient(
      EventLoop loop,
      HttpClient web,
      String address,
      double rps,
      double writeRps,
      int ops,
      int nodes) {
    this.loop = loop;
    this.web = web;
    this.address = address;
    this.ops = ops;
    // One node may own most of the work, so each gets more than an even part; 429 slows it down.
    double share = Math.min(1.0, 2.5 / nodes);
    this.reads = new Rate(loop, rps * share);
    this.writes = new Rate(loop, writeRps * share);
    this.pauseMs = Math.max(50, (long) (1_000 * 4.0 * nodes / rps));
  }

  /** Pause between reads of a kind that goes on and on: each kind of all nodes takes a quarter. */
  public long pauseMs() {
    return pauseMs;
  }

  public int opsLimit() {
    return ops;
  }

  /** How long every call has failed, 0 if the last one was answered. */
  public long failingForMs() {
    return firstFailMs < 0 ? 0 : loop.nowMs() - firstFailMs;
  }

  /** When the newest call that was answered was sent: so long ago we were surely served. */
  public long servedMs() {
    return servedMs;
  }

  public void get(String key, Consumer<Got> done) {
    paced(
        asking,
        0,
        () ->
            send(
                0,
                "GET",
                "/keys/" + key,
                null,
                LIMIT_MS,
                reply -> {
                  if (reply.ok()) {
                    StoreMessages.Pair p = Json.read(reply.body(), StoreMessages.Pair.class);
                    if (p != null) {
                      done.accept(new Got(200, new VersionedValue(p.value(), p.version())));
                      return;
                    }
                  }
                  done.accept(new Got(reply.status() == 404 ? 404 : 503, null));
                }),
        () -> done.accept(new Got(503, null)));
  }

  public void list(String prefix, String from, Consumer<Listed> done) {
    String path = "/keys?prefix=" + prefix + (from == null ? "" : "&from=" + from) + "&limit=1000";
    paced(
        asking,
        0,
        () ->
            send(
                0,
                "GET",
                path,
                null,
                3 * LIMIT_MS,
                reply -> {
                  StoreMessages.Page page =
                      reply.ok() ? Json.read(reply.body(), StoreMessages.Page.class) : null;
                  if (page == null || page.items() == null) {
                    done.accept(new Listed(false, List.of(), false, 0));
                    return;
                  }
                  List<Item> items =
                      page.items().stream()
                          .map(p -> new Item(p.key(), p.value(), p.version()))
                          .toList();
                  done.accept(new Listed(true, items, page.more(), page.revision()));
                }),
        () -> done.accept(new Listed(false, List.of(), false, 0)));
  }

  /** Compares only, or writes for a user: does not wait behind what owners write. */
  public void commitFirst(TransactionBuilder draft, Consumer<Outcome> done) {
    commit(draft.size() == 0 ? asking : first, draft, done);
  }

  public void commit(TransactionBuilder draft, Consumer<Outcome> done) {
    commit(later, draft, done);
  }

  private void commit(ArrayDeque<Waiting> lane, TransactionBuilder draft, Consumer<Outcome> done) {
    byte[] body =
        Json.write(
            new StoreMessages.Transaction(
                List.copyOf(draft.conditions), List.copyOf(draft.changes)));
    paced(
        lane,
        draft.size(),
        () ->
            send(
                draft.size(),
                "POST",
                "/txn",
                body,
                LIMIT_MS,
                reply -> {
                  StoreMessages.Revision r =
                      reply.ok() || reply.status() == 409
                          ? Json.read(reply.body(), StoreMessages.Revision.class)
                          : null;
                  if (r != null && reply.ok()) {
                    done.accept(new Outcome(Outcome.Kind.DONE, r.revision(), List.of()));
                  } else if (r != null && r.failed() != null) {
                    done.accept(new Outcome(Outcome.Kind.CONFLICT, r.revision(), r.failed()));
                  } else {
                    boolean refused = reply.status() >= 400;
                    done.accept(
                        new Outcome(
                            refused ? Outcome.Kind.REFUSED : Outcome.Kind.UNKNOWN, 0, List.of()));
                  }
                }),
        () -> done.accept(new Outcome(Outcome.Kind.REFUSED, 0, List.of())));
  }

  /** Hands the new lease's id, or -1. Not queued: ownership must not wait behind other calls. */
  public void acquireLease(long termMs, Consumer<Long> done) {
    reads.force();
    send(
        0,
        "POST",
        "/holds",
        Json.write(new StoreMessages.Life(termMs)),
        LIMIT_MS,
        reply -> {
          StoreMessages.Lease l =
              reply.ok() ? Json.read(reply.body(), StoreMessages.Lease.class) : null;
          done.accept(l == null ? -1 : l.id());
        });
  }

  /** Hands the status: 200 renewed, 404 ended, anything else unknown. */
  public void renewLease(long lease, Consumer<Integer> done) {
    reads.force();
    send(
        0,
        "POST",
        "/holds/" + lease + "/renew",
        new byte[0],
        LIMIT_MS,
        reply -> done.accept(reply.status()));
  }

  public void follow(String prefix, long from, long blockMs, Consumer<Followed> done) {
    reads.force();
    web.call(
        address,
        "GET",
        "/follow?prefix=" + prefix + "&from=" + from + "&block_ms=" + blockMs,
        null,
        blockMs + LIMIT_MS,
        reply -> {
          StoreMessages.Events e =
              reply.ok() ? Json.read(reply.body(), StoreMessages.Events.class) : null;
          if (e == null) {
            done.accept(new Followed(reply.ok() ? 0 : reply.status(), List.of(), from));
            return;
          }
          List<Item> items =
              e.changes() == null
                  ? List.of()
                  : e.changes().stream()
                      .map(
                          c ->
                              c.put() != null
                                  ? new Item(c.put(), c.value(), c.version())
                                  : new Item(c.delete(), null, c.version()))
                      .toList();
          done.accept(new Followed(200, items, e.revision()));
        });
  }

  private void send(
      int changes,
      String method,
      String path,
      byte[] body,
      long limitMs,
      Consumer<ClientResponse> done) {
    long sentMs = loop.nowMs();
    web.call(
        address,
        method,
        path,
        body,
        limitMs,
        reply -> {
          if (reply.status() == 429) {
            LOG.debug("too fast: {}", path);
            (changes > 0 ? writes : reads).slowDown();
          }
          if (reply.status() == 0 || reply.status() == 503) {
            firstFailMs = firstFailMs < 0 ? loop.nowMs() : firstFailMs;
          } else {
            firstFailMs = -1;
            servedMs = Math.max(servedMs, sentMs);
          }
          done.accept(reply);
        });
  }

  private void paced(ArrayDeque<Waiting> lane, int writeCost, Runnable send, Runnable refuse) {
    if (lane.size() >= QUEUE) {
      refuse.run();
      return;
    }
    lane.add(new Waiting(writeCost, send, refuse));
    pump();
  }

  /**
   * Reads beside writes, and users' writes in turn with owners': none waits behind another kind.
   */
  private void pump() {
    if (pumping) {
      return;
    }
    pumping = true;
    try {
      long wait = Math.min(drainWrites(), drain(asking));
      long at = wait == Long.MAX_VALUE ? wait : loop.nowMs() + wait;
      if (at < pumpAtMs) {
        pumpAtMs = at;
        loop.after(
            wait,
            () -> {
              pumpAtMs = Long.MAX_VALUE;
              pump();
            });
      }
    } finally {
      pumping = false;
    }
  }

  private long drainWrites() {
    while (true) {
      boolean users = later.isEmpty() || (usersTurn && !first.isEmpty());
      long wait = sendOne(users ? first : later);
      if (wait > 0) {
        return wait;
      }
      // In a burst of submissions rentals would come too late, were users' writes always first.
      usersTurn = !users;
    }
  }

  private long drain(ArrayDeque<Waiting> lane) {
    long wait;
    do {
      wait = sendOne(lane);
    } while (wait == 0);
    return wait;
  }

  /** 0: sent; else how long it must wait. */
  private long sendOne(ArrayDeque<Waiting> lane) {
    Waiting w = lane.peek();
    if (w == null) {
      return Long.MAX_VALUE;
    }
    long wait = Math.max(reads.waitMs(1), w.writeCost > 0 ? writes.waitMs(w.writeCost) : 0);
    if (wait == 0) {
      lane.poll();
      reads.take(1);
      writes.take(w.writeCost);
      w.send.run();
    }
    return wait;
  }
}
