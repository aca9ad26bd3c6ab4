package dev.windbend.peer;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.windbend.job.Cancellations;
import dev.windbend.job.Cancellations.Cancelled;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpClient;
import dev.windbend.runtime.Json;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import dev.windbend.store.StoreClient;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * Asks the other nodes, while the state service fails us, whether it serves them: a 503 alone does
 * not tell an outage from trouble of our own.
 */
public final class Peers {
  public static final String PATH = "/peer/store";
  public static final String CANCELLED = "/peer/cancelled";
  private static final long FAILING_MS = 700;
  private static final long PAUSE_MS = 1_000;
  private static final long LIMIT_MS = 900;
  private static final long FRESH_MS = 1_500;
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** A worker sees that its lease has ended, and its tasks are killed. */
  private static final long KILL_MS = 900;

  /** Cancellations that come at once are told together. */
  private static final long TELL_GAP_MS = 50;

  private final EventLoop loop;
  private final HttpClient web;
  private final StoreClient store;
  private final List<String> addresses;
  private final long keepMs;
  private final Cancellations cancellations;
  private long othersServedMs = NEVER;
  private long heardMs = NEVER;
  private long tellFromMs = NEVER;

  /** When each node was asked last whose answer vouched for what we know. */
  private final long[] vouchedMs;

  private final List<Cancelled> untold = new ArrayList<>();

  record Ask(@JsonProperty("known_up_to") long knownUpTo) {}

  /**
   * @param cancelled all jobs of which users may have been told that they are cancelled, beyond
   *     what the asker knows; null: can't be told
   */
  record View(
      @JsonProperty("answered_ms_ago") long answeredMsAgo,
      @JsonProperty("cancelled") List<Cancelled> cancelled) {}

  record Told(@JsonProperty("cancelled") List<Cancelled> cancelled) {}

  /**
   * @param keepMs for how long after we were sure of all cancellations workers may be kept by empty
   *     answers, so that their leases end before the tasks of a cancelled job have to be gone
   */
  public Peers(
      EventLoop loop,
      HttpClient web,
      StoreClient store,
      List<String> addresses,
      long keepMs,
      Cancellations cancellations) {
    this.loop = loop;
    this.web = web;
    this.store = store;
    this.addresses = addresses;
    this.keepMs = keepMs;
    this.cancellations = cancellations;
    this.vouchedMs = new long[addresses.size()];
    Arrays.fill(vouchedMs, NEVER);
  }

  /**
   * For how long after all cancellations were known workers may be kept. A job cancelled right then
   * must have no task {@code cancel_s} later; the last answer keeps a lease for {@code lease_s}
   * from when its report was sent, which was before; clocks drift, and the kill takes its time.
   * Nothing else counts: how long a report, an answer or a question to another node took is within,
   * as all count from when they were sent. Not above 0: workers are not kept at all.
   */
  public static long keepMs(double leaseS, double cancelS) {
    return (long)
            (1000 * (cancelS * (1 - EventLoop.CLOCK_DRIFT) - leaseS * (1 + EventLoop.CLOCK_DRIFT)))
        - KILL_MS;
  }

  public void start() {
    loop.every(PAUSE_MS, this::ask);
  }

  /** Tells all others at once, so that an owner whose mirror lags starts no task of it any more. */
  public void tell(Cancelled cancelled) {
    if (addresses.isEmpty()) {
      return;
    }
    if (untold.isEmpty()) {
      loop.after(Math.max(0, tellFromMs - loop.nowMs()), this::tellAll);
    }
    // What is not told at once is heard of with the next change of the mirror, or asked for.
    if (untold.size() < Cancellations.MOST_TOLD) {
      untold.add(cancelled);
    }
  }

  private void tellAll() {
    byte[] body = Json.write(new Told(List.copyOf(untold)));
    untold.clear();
    tellFromMs = loop.nowMs() + TELL_GAP_MS;
    for (String address : addresses) {
      web.call(address, "POST", CANCELLED, body, LIMIT_MS, reply -> {});
    }
  }

  /** Another node has confirmed cancellations to users. */
  public ServerResponse told(ServerRequest request) {
    Told t = Json.read(request.body(), Told.class);
    if (t == null || t.cancelled() == null || t.cancelled().stream().anyMatch(Objects::isNull)) {
      return ServerResponse.ofStatus(400);
    }
    cancellations.learn(t.cancelled());
    return ServerResponse.ofStatus(200);
  }

  /** Another node was served a moment ago, while we were not. */
  public boolean othersServed() {
    return store.failingForMs() > FAILING_MS
        && loop.nowMs() - othersServedMs < 2 * PAUSE_MS + FRESH_MS;
  }

  /**
   * May keep workers by empty answers though we can't know what others do. Nodes that are cut off
   * together hear one another and may take it for a general outage, while the rest accept
   * cancellations. So it is bounded, whoever is heard, from when we knew of all cancellations last:
   * when the watch that was answered last was sent, or when every other node was asked last that
   * told us of all cancellations its users know of and we did not. That is a general outage, and
   * all work goes on through it.
   */
  public boolean mayKeepWorkers() {
    if (addresses.isEmpty()) {
      return true;
    }
    long vouched = Arrays.stream(vouchedMs).min().getAsLong();
    return !othersServed()
        && loop.nowMs() - Math.max(cancellations.knownUntilMs(), vouched) <= keepMs;
  }

  /** Reaches neither the state service nor any other node. */
  public boolean alone() {
    return store.failingForMs() > 2 * PAUSE_MS + FRESH_MS
        && !addresses.isEmpty()
        && loop.nowMs() - heardMs >= 2 * PAUSE_MS + FRESH_MS;
  }

  public ServerResponse view(ServerRequest request) {
    Ask a = Json.read(request.body(), Ask.class);
    return a == null
        ? ServerResponse.ofStatus(400)
        : ServerResponse.of(
            200, new View(loop.nowMs() - store.servedMs(), cancellations.since(a.knownUpTo())));
  }

  private void ask() {
    if (store.failingForMs() <= FAILING_MS) {
      othersServedMs = NEVER;
      return;
    }
    byte[] body = Json.write(new Ask(cancellations.knownUpTo()));
    for (int i = 0; i < addresses.size(); i++) {
      int node = i;
      long sentMs = loop.nowMs();
      web.call(
          addresses.get(i),
          "POST",
          PATH,
          body,
          LIMIT_MS,
          reply -> {
            View v = reply.ok() ? Json.read(reply.body(), View.class) : null;
            if (v != null) {
              heard(node, sentMs, v);
            }
          });
    }
  }

  private void heard(int node, long sentMs, View v) {
    heardMs = loop.nowMs();
    if (v.cancelled() != null) {
      cancellations.learn(v.cancelled());
      vouchedMs[node] = sentMs;
    }
    if (v.answeredMsAgo() < FRESH_MS && store.failingForMs() > FRESH_MS) {
      othersServedMs = loop.nowMs();
    }
  }
}
