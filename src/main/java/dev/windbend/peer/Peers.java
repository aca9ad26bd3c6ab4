package dev.windbend.peer;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.windbend.daemon.io.Json;
import dev.windbend.daemon.io.Loop;
import dev.windbend.daemon.io.Web;
import dev.windbend.store.StoreClient;
import java.util.Arrays;
import java.util.List;

/**
 * Asks the other nodes, while the state service fails us, whether it serves them: a 503 alone does
 * not tell an outage from trouble of our own.
 */
public final class Peers {
  public static final String PATH = "/peer/store";
  private static final long FAILING_MS = 700;
  private static final long PAUSE_MS = 1_000;
  private static final long LIMIT_MS = 900;
  private static final long FRESH_MS = 1_500;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Loop loop;
  private final Web web;
  private final StoreClient store;
  private final List<String> addresses;
  private final long keepMs;
  private final Cancellations cancellations;
  private long othersServedMs = NEVER;
  private long heardMs = NEVER;

  /** When each node was asked last whose answer vouched for what we know. */
  private final long[] vouchedMs;

  /** Which cancellations users may have been told of. */
  public interface Cancellations {
    /** No user was told by this node of one newer than this revision. */
    long toldUpTo();

    /** This node knows of all up to this revision. */
    long knownUpTo();

    /** This node knows of all that were accepted before then. */
    long knownUntilMs();
  }

  record View(
      @JsonProperty("answered_ms_ago") long answeredMsAgo,
      @JsonProperty("cancelled_up_to") long cancelledUpTo) {}

  /**
   * @param keepMs for how long after we were sure of all cancellations workers may be kept by empty
   *     answers, so that their leases end before the tasks of a cancelled job have to be gone
   */
  public Peers(
      Loop loop,
      Web web,
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

  public void start() {
    loop.every(PAUSE_MS, this::ask);
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
   * when the watch that was answered last was sent, or when every other node had told us that its
   * users know of no cancellation that we don't. That is a general outage, and all work goes on
   * through it.
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

  public Web.Answer view() {
    return Web.Answer.of(200, new View(loop.nowMs() - store.servedMs(), cancellations.toldUpTo()));
  }

  private void ask() {
    if (store.failingForMs() <= FAILING_MS) {
      othersServedMs = NEVER;
      return;
    }
    for (int i = 0; i < addresses.size(); i++) {
      int node = i;
      long sentMs = loop.nowMs();
      web.call(
          addresses.get(i),
          "GET",
          PATH,
          null,
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
    if (v.cancelledUpTo() <= cancellations.knownUpTo()) {
      vouchedMs[node] = sentMs;
    }
    if (v.answeredMsAgo() < FRESH_MS && store.failingForMs() > FRESH_MS) {
      othersServedMs = loop.nowMs();
    }
  }
}
