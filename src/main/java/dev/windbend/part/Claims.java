package dev.windbend.part;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.windbend.daemon.io.Json;
import dev.windbend.daemon.io.Loop;
import dev.windbend.store.Draft;
import dev.windbend.store.Replica;
import dev.windbend.store.StoreClient;
import dev.windbend.store.Stored;
import java.util.Arrays;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who owns which part. A claim is a key under the node's hold; its version is the token that fences
 * every owner's orders and writes.
 */
public final class Claims {
  private static final Logger LOG = LoggerFactory.getLogger(Claims.class);
  public static final String KEYS = "w/c/";

  /** Clocks may run this much apart; twice the allowed drift, to be safe. */
  private static final double DRIFT = 0.001;

  private static final long MARGIN_MS = 150;
  private static final long STEP_MS = 250;
  private static final long RANK_PAUSE_MS = 600;
  private static final long LOAD_PAUSE_MS = 900;

  private final Loop loop;
  private final StoreClient store;
  private final Replica replica;
  private final Layout layout;
  private final String me;
  private final long lifeMs;
  private final long leaseMs;
  private final Listener listener;
  private final long[] tokens;
  private final long[] freeSince;
  private final boolean[] claiming;
  private long hold = -1;
  private boolean holding;
  private long validUntilMs;
  private long heardMs = Long.MIN_VALUE / 2;
  private long leftMs = Long.MIN_VALUE / 2;

  /** Told when this node gains or loses a part. */
  public interface Listener {
    void won(int part, long token);

    void lost(int part);
  }

  record Claim(@JsonProperty("owner") String owner) {}

  public Claims(
      Loop loop,
      StoreClient store,
      Replica replica,
      Layout layout,
      String me,
      long lifeMs,
      long leaseMs,
      Listener listener) {
    this.loop = loop;
    this.store = store;
    this.replica = replica;
    this.layout = layout;
    this.me = me;
    this.lifeMs = lifeMs;
    this.leaseMs = leaseMs;
    this.listener = listener;
    this.tokens = new long[layout.parts()];
    this.freeSince = new long[layout.parts()];
    this.claiming = new boolean[layout.parts()];
    Arrays.fill(freeSince, -1);
  }

  public void start() {
    newHold();
    step();
  }

  static String key(int part) {
    return KEYS + part;
  }

  /** Our hold can't have ended, whatever the clocks do. */
  public boolean surelyHeld() {
    return loop.nowMs() < validUntilMs;
  }

  public boolean owns(int part) {
    return tokens[part] > 0;
  }

  /** The owner as far as this node knows; null: nobody. */
  public String owner(int part) {
    Stored s = replica.get(key(part));
    Claim c = s == null ? null : Json.read(s.value(), Claim.class);
    return c == null ? null : c.owner();
  }

  private int owned() {
    int n = 0;
    for (long t : tokens) {
      n += t > 0 ? 1 : 0;
    }
    return n;
  }

  private void newHold() {
    if (holding) {
      return;
    }
    holding = true;
    long sent = loop.nowMs();
    store.hold(
        lifeMs,
        id -> {
          holding = false;
          if (id < 0) {
            loop.after(500, this::newHold);
            return;
          }
          hold = id;
          valid(sent);
          renewLater(lifeMs / 4);
        });
  }

  private void valid(long sentMs) {
    validUntilMs = sentMs + (long) (lifeMs * (1 - DRIFT)) - MARGIN_MS;
  }

  private void renewLater(long ms) {
    loop.after(ms, this::renew);
  }

  private void renew() {
    long sent = loop.nowMs();
    long id = hold;
    store.renew(
        id,
        status -> {
          if (status == 200) {
            valid(sent);
            renewLater(lifeMs / 4);
          } else if (status == 404) {
            LOG.warn("hold ended");
            hold = -1;
            validUntilMs = 0;
            for (int p = 0; p < tokens.length; p++) {
              lose(p);
            }
            newHold();
          } else {
            renewLater(300);
          }
        });
  }

  /** Called by an owner whose write failed on its claim. */
  public void lose(int part) {
    if (tokens[part] > 0) {
      tokens[part] = 0;
      LOG.warn("part {} lost", part);
      listener.lost(part);
    }
  }

  /**
   * Our workers do not reach us, though the state service does: another node may be reached, so it
   * gets the part. We claim none until a worker is heard again, or for a lease.
   */
  public void leaveToOthers(int part) {
    long token = tokens[part];
    if (token > 0 && layout.nodes() > 1) {
      LOG.warn("part {} is left to others: no worker reaches us", part);
      leftMs = loop.nowMs();
      lose(part);
      release(part, token);
    }
  }

  /** When any worker reached this node last. */
  public long heardMs() {
    return heardMs;
  }

  public void heardWorker() {
    heardMs = loop.nowMs();
  }

  private void release(int part, long version) {
    claiming[part] = true;
    store.commit(
        new Draft().when(key(part), version).delete(key(part)), outcome -> claiming[part] = false);
  }

  private void step() {
    if (replica.synced()) {
      for (int p = 0; p < tokens.length; p++) {
        step(p);
      }
    }
    loop.after(STEP_MS, this::step);
  }

  private void step(int part) {
    Stored s = replica.get(key(part));
    if (tokens[part] > 0) {
      boolean mine = s != null && s.version() == tokens[part];
      if (!mine && replica.revision() >= tokens[part]) {
        lose(part);
      }
      return;
    }
    if (claiming[part] || hold < 0 || !surelyHeld()) {
      return;
    }
    if (loop.nowMs() - leftMs < leaseMs && heardMs <= leftMs) {
      freeSince[part] = -1;
      if (s != null && me.equals(owner(part))) {
        release(part, s.version());
      }
      return;
    }
    if (s != null) {
      freeSince[part] = -1;
      if (me.equals(owner(part))) {
        // Ours from a former life, or from an answer that never came: retaken at once.
        claim(part, s.version());
      }
      return;
    }
    long now = loop.nowMs();
    if (freeSince[part] < 0) {
      freeSince[part] = now;
    }
    long pause = RANK_PAUSE_MS * layout.rank(part, me) + LOAD_PAUSE_MS * owned();
    if (now - freeSince[part] >= pause) {
      claim(part, 0);
    }
  }

  private void claim(int part, long version) {
    claiming[part] = true;
    long id = hold;
    store.commit(
        new Draft().when(key(part), version).putHeld(key(part), new Claim(me), id),
        outcome -> {
          claiming[part] = false;
          freeSince[part] = -1;
          if (outcome.done() && hold == id) {
            tokens[part] = outcome.revision();
            LOG.info("part {} won with token {}", part, tokens[part]);
            listener.won(part, tokens[part]);
          }
        });
  }
}
