package dev.windbend.peer;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.windbend.daemon.io.Json;
import dev.windbend.daemon.io.Loop;
import dev.windbend.daemon.io.Web;
import dev.windbend.store.StoreClient;
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

  private final Loop loop;
  private final Web web;
  private final StoreClient store;
  private final List<String> addresses;
  private final long aloneMs;
  private long servedMs = Long.MIN_VALUE / 2;
  private long heardMs = Long.MIN_VALUE / 2;

  record View(@JsonProperty("answered_ms_ago") long answeredMsAgo) {}

  /**
   * @param aloneMs how long a node that reaches neither the state service nor another node may hope
   *     that it is a general outage
   */
  public Peers(Loop loop, Web web, StoreClient store, List<String> addresses, long aloneMs) {
    this.aloneMs = aloneMs;
    this.loop = loop;
    this.web = web;
    this.store = store;
    this.addresses = addresses;
  }

  public void start() {
    loop.every(PAUSE_MS, this::ask);
  }

  /** Another node was served a moment ago, while we were not. */
  public boolean othersServed() {
    return store.failingForMs() > FAILING_MS && loop.nowMs() - servedMs < 2 * PAUSE_MS + FRESH_MS;
  }

  /**
   * May keep workers by empty answers: as far as can be known, nobody could use them now. With no
   * word from any node that holds for a while only: the others may be served, and a general outage
   * leaves the workers the rest of their lease even then.
   */
  public boolean mayKeepWorkers() {
    if (othersServed()) {
      return false;
    }
    return addresses.isEmpty()
        || store.failingForMs() <= aloneMs
        || loop.nowMs() - heardMs < 2 * PAUSE_MS + FRESH_MS;
  }

  /** Reaches neither the state service nor any other node. */
  public boolean alone() {
    return store.failingForMs() > 2 * PAUSE_MS + FRESH_MS
        && !addresses.isEmpty()
        && loop.nowMs() - heardMs >= 2 * PAUSE_MS + FRESH_MS;
  }

  public Web.Answer view() {
    return Web.Answer.of(
        200, new View(store.failingForMs() > 0 ? loop.nowMs() - store.lastOkMs() : 0));
  }

  private void ask() {
    if (store.failingForMs() <= FAILING_MS) {
      servedMs = Long.MIN_VALUE / 2;
      return;
    }
    for (String a : addresses) {
      web.call(
          a,
          "GET",
          PATH,
          null,
          LIMIT_MS,
          reply -> {
            View v = reply.ok() ? Json.read(reply.body(), View.class) : null;
            if (v != null) {
              heardMs = loop.nowMs();
            }
            if (v != null && v.answeredMsAgo() < FRESH_MS && store.failingForMs() > FRESH_MS) {
              servedMs = loop.nowMs();
            }
          });
    }
  }
}
