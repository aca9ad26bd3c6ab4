package dev.windbend.shard;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.windbend.daemon.io.EventLoop;
import dev.windbend.daemon.io.Json;
import dev.windbend.store.Replica;
import dev.windbend.store.StoreClient;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.VersionedValue;
import java.util.Arrays;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who owns which shard. A claim is a key under the node's hold; its version is the token that
 * fences every owner's orders and writes.
 */
public final class ShardOwnership {
  private static final Logger LOG = LoggerFactory.getLogger(ShardOwnership.class);
  public static final String KEYS = "w/c/";

  private static final long MARGIN_MS = 150;
  private static final long STEP_MS = 250;
  private static final long RANK_PAUSE_MS = 600;
  private static final long LOAD_PAUSE_MS = 900;

  private final EventLoop loop;
  private final StoreClient store;
  private final Replica replica;
  private final ShardLayout layout;
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

  /** Told when this node gains or loses a shard. */
  public interface Listener {
    void won(int shard, long token);

    void lost(int shard);
  }

  record Claim(@JsonProperty("owner") String owner) {}

  public ShardOwnership(
      EventLoop loop,
      StoreClient store,
      Replica replica,
      ShardLayout layout,
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
    this.tokens = new long[layout.shards()];
    this.freeSince = new long[layout.shards()];
    this.claiming = new boolean[layout.shards()];
    Arrays.fill(freeSince, -1);
  }

  public void start() {
    newHold();
    step();
  }

  static String key(int shard) {
    return KEYS + shard;
  }

  /** Our hold can't have ended, whatever the clocks do. */
  public boolean surelyHeld() {
    return loop.nowMs() < validUntilMs;
  }

  public boolean owns(int shard) {
    return tokens[shard] > 0;
  }

  /** The owner as far as this node knows; null: nobody. */
  public String owner(int shard) {
    VersionedValue s = replica.get(key(shard));
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
    validUntilMs = sentMs + (long) (lifeMs * (1 - EventLoop.CLOCK_DRIFT)) - MARGIN_MS;
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
  public void lose(int shard) {
    if (tokens[shard] > 0) {
      tokens[shard] = 0;
      LOG.warn("shard {} lost", shard);
      listener.lost(shard);
    }
  }

  /**
   * Our workers do not reach us, though the state service does: another node may be reached, so it
   * gets the shard. We claim none until a worker is heard again, or for a lease.
   */
  public void leaveToOthers(int shard) {
    long token = tokens[shard];
    if (token > 0 && layout.nodes() > 1) {
      LOG.warn("shard {} is left to others: no worker reaches us", shard);
      leftMs = loop.nowMs();
      lose(shard);
      release(shard, token);
    }
  }

  /** When any worker reached this node last. */
  public long heardMs() {
    return heardMs;
  }

  public void heardWorker() {
    heardMs = loop.nowMs();
  }

  private void release(int shard, long version) {
    claiming[shard] = true;
    store.commit(
        new TransactionBuilder().when(key(shard), version).delete(key(shard)),
        outcome -> claiming[shard] = false);
  }

  private void step() {
    if (replica.synced()) {
      for (int p = 0; p < tokens.length; p++) {
        step(p);
      }
    }
    loop.after(STEP_MS, this::step);
  }

  private void step(int shard) {
    VersionedValue s = replica.get(key(shard));
    if (tokens[shard] > 0) {
      boolean mine = s != null && s.version() == tokens[shard];
      if (!mine && replica.revision() >= tokens[shard]) {
        lose(shard);
      }
      return;
    }
    if (claiming[shard] || hold < 0 || !surelyHeld()) {
      return;
    }
    if (loop.nowMs() - leftMs < leaseMs && heardMs <= leftMs) {
      freeSince[shard] = -1;
      if (s != null && me.equals(owner(shard))) {
        release(shard, s.version());
      }
      return;
    }
    if (s != null) {
      freeSince[shard] = -1;
      if (me.equals(owner(shard))) {
        // Ours from a former life, or from an answer that never came: retaken at once.
        claim(shard, s.version());
      }
      return;
    }
    long now = loop.nowMs();
    if (freeSince[shard] < 0) {
      freeSince[shard] = now;
    }
    long pause = RANK_PAUSE_MS * layout.rank(shard, me) + LOAD_PAUSE_MS * owned();
    if (now - freeSince[shard] >= pause) {
      claim(shard, 0);
    }
  }

  private void claim(int shard, long version) {
    claiming[shard] = true;
    long id = hold;
    store.commit(
        new TransactionBuilder().when(key(shard), version).putHeld(key(shard), new Claim(me), id),
        outcome -> {
          claiming[shard] = false;
          freeSince[shard] = -1;
          if (outcome.done() && hold == id) {
            tokens[shard] = outcome.revision();
            LOG.info("shard {} won with token {}", shard, tokens[shard]);
            listener.won(shard, tokens[shard]);
          }
        });
  }
}
