package dev.windbend.shard;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.Json;
import dev.windbend.store.Replica;
import dev.windbend.store.StoreClient;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.VersionedValue;
import java.util.Arrays;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who owns which shard. A claim is a key under the node's lease; its version is the token that
 * fences every owner's orders and writes.
 */
public final class LeaderElection {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);
  public static final String KEYS = "w/c/";

  private static final long STEP_MS = 250;
  private static final long RANK_PAUSE_MS = 600;
  private static final long LOAD_PAUSE_MS = 900;

  private final EventLoop loop;
  private final StoreClient store;
  private final Replica replica;
  private final ShardLayout layout;
  private final String me;
  private final ControllerLease lease;
  private final long leaseMs;
  private final Listener listener;
  private final long[] tokens;
  private final long[] freeSince;
  private final boolean[] claiming;
  private long heardMs = Long.MIN_VALUE / 2;
  private long leftMs = Long.MIN_VALUE / 2;

  /** Told when this node gains or loses a shard. */
  public interface Listener {
    void won(int shard, long token);

    void lost(int shard);
  }

  record Claim(@JsonProperty("owner") String owner) {}

  public LeaderElection(
      EventLoop loop,
      StoreClient store,
      Replica replica,
      ShardLayout layout,
      String me,
      long termMs,
      long leaseMs,
      Listener listener) {
    this.loop = loop;
    this.store = store;
    this.replica = replica;
    this.layout = layout;
    this.me = me;
    this.lease = new ControllerLease(loop, store, termMs, this::loseAll);
    this.leaseMs = leaseMs;
    this.listener = listener;
    this.tokens = new long[layout.shards()];
    this.freeSince = new long[layout.shards()];
    this.claiming = new boolean[layout.shards()];
    Arrays.fill(freeSince, -1);
  }

  public void start() {
    lease.acquire();
    step();
  }

  static String key(int shard) {
    return KEYS + shard;
  }

  /** Our lease can't have ended, whatever the clocks do. */
  public boolean surelyHeld() {
    return lease.surelyHeld();
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

  private void loseAll() {
    for (int shard = 0; shard < tokens.length; shard++) {
      lose(shard);
    }
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
    if (claiming[shard] || !surelyHeld()) {
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
    long id = lease.id();
    store.commit(
        new TransactionBuilder().when(key(shard), version).putHeld(key(shard), new Claim(me), id),
        outcome -> {
          claiming[shard] = false;
          freeSince[shard] = -1;
          if (outcome.done() && lease.id() == id) {
            tokens[shard] = outcome.revision();
            LOG.info("shard {} won with token {}", shard, tokens[shard]);
            listener.won(shard, tokens[shard]);
          }
        });
  }
}
