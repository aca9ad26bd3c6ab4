package dev.windbend.shard;

import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.Json;
import dev.windbend.store.Replica;
import dev.windbend.store.StoreClient;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.TransactionOutcome;
import dev.windbend.store.VersionedValue;
import java.util.Arrays;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Elects a leader for each shard. A controller campaigns by writing a {@link ShardLeaderRecord}
 * under its lease, on condition that there is none; the record's version is the fencing token of
 * all orders and writes of that leader.
 */
public final class LeaderElection {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

  private static final long STEP_MS = 250;

  /** How much later each next controller in a shard's order of preference campaigns. */
  private static final long RANK_DELAY_MS = 600;

  /** How much later a controller campaigns for each shard that it leads already. */
  private static final long LOAD_DELAY_MS = 900;

  private static final long LONG_AGO_MS = Long.MIN_VALUE / 2;
  private static final long NOT_VACANT = -1;
  private static final long NOT_LEADER = 0;

  /** The version that a record must have which must not exist. */
  private static final long ABSENT = 0;

  private final EventLoop loop;
  private final StoreClient store;
  private final Replica replica;
  private final ShardLayout layout;
  private final String nodeName;
  private final ControllerLease lease;
  private final long workerLeaseMs;
  private final Listener listener;

  /** By shard: the fencing token, or {@link #NOT_LEADER}. */
  private final long[] tokens;

  /** By shard: since when it has no leader, or {@link #NOT_VACANT}. */
  private final long[] vacantSinceMs;

  /** By shard: a transaction on its record is under way. */
  private final boolean[] writing;

  private long lastWorkerContactMs = LONG_AGO_MS;
  private long yieldedMs = LONG_AGO_MS;

  /** Hears which shards this controller leads. */
  public interface Listener {
    /** This controller leads the shard now, under this fencing token. */
    void elected(int shard, long token);

    /** It doesn't lead the shard any more. */
    void deposed(int shard);
  }

  /**
   * Makes an election that begins with {@link #start}.
   *
   * @param nodeName this controller's name
   * @param leaseTermMs for how long the state service grants the lease that leadership is bound to
   * @param workerLeaseMs for how long the lease of a worker's agent lasts
   */
  public LeaderElection(
      EventLoop loop,
      StoreClient store,
      Replica replica,
      ShardLayout layout,
      String nodeName,
      long leaseTermMs,
      long workerLeaseMs,
      Listener listener) {
    this.loop = loop;
    this.store = store;
    this.replica = replica;
    this.layout = layout;
    this.nodeName = nodeName;
    this.lease = new ControllerLease(loop, store, leaseTermMs, this::stepDownFromAll);
    this.workerLeaseMs = workerLeaseMs;
    this.listener = listener;
    this.tokens = new long[layout.shards()];
    this.vacantSinceMs = new long[layout.shards()];
    this.writing = new boolean[layout.shards()];
    Arrays.fill(vacantSinceMs, NOT_VACANT);
  }

  /** Acquires the lease, and campaigns from then on wherever a leader is lacking. */
  public void start() {
    lease.acquire();
    step();
  }

  /** The lease can't have expired, whatever the clocks do. */
  public boolean leaseSurelyValid() {
    return lease.surelyValid();
  }

  /** Whether this controller was elected for the shard, and has not been deposed since. */
  public boolean isLeader(int shard) {
    return tokens[shard] != NOT_LEADER;
  }

  /**
   * The name of the shard's leader, as far as this controller knows.
   *
   * @return null: none is known
   */
  public String leaderOf(int shard) {
    return leaderIn(replica.get(ShardLeaderRecord.key(shard)));
  }

  private static String leaderIn(VersionedValue stored) {
    ShardLeaderRecord leader =
        stored == null ? null : Json.read(stored.value(), ShardLeaderRecord.class);
    return leader == null ? null : leader.leader();
  }

  /** Called when a write of the leader failed because its election is not valid any more. */
  public void stepDown(int shard) {
    if (isLeader(shard)) {
      tokens[shard] = NOT_LEADER;
      LOG.warn("leader deposed: shard={}", shard);
      listener.deposed(shard);
    }
  }

  private void stepDownFromAll() {
    for (int shard = 0; shard < tokens.length; shard++) {
      stepDown(shard);
    }
  }

  /**
   * Leaves the shard to another controller: its workers do not reach this one, though the state
   * service does, and may reach another. This one campaigns for no shard until a worker reaches it
   * again, or for the time of a worker's lease.
   */
  public void yieldLeadership(int shard) {
    long token = tokens[shard];
    if (token != NOT_LEADER && layout.nodes() > 1) {
      LOG.warn(
          "leadership yielded: shard={} token={} cause=\"no worker reaches us\"", shard, token);
      yieldedMs = loop.nowMs();
      stepDown(shard);
      resign(shard, token);
    }
  }

  /** When any worker reached this controller last (steady clock). */
  public long lastWorkerContactMs() {
    return lastWorkerContactMs;
  }

  /** A worker has reached this controller. */
  public void recordWorkerContact() {
    lastWorkerContactMs = loop.nowMs();
  }

  private void step() {
    if (replica.synced()) {
      for (int shard = 0; shard < tokens.length; shard++) {
        step(shard);
      }
    }
    loop.after(STEP_MS, this::step);
  }

  private void step(int shard) {
    VersionedValue stored = replica.get(ShardLeaderRecord.key(shard));
    if (isLeader(shard)) {
      confirmLeadership(shard, stored);
    } else if (!writing[shard] && leaseSurelyValid()) {
      if (yielding()) {
        leaveVacant(shard, stored);
      } else if (stored != null) {
        reclaim(shard, stored);
      } else {
        campaignInTurn(shard);
      }
    }
  }

  private void confirmLeadership(int shard, VersionedValue stored) {
    boolean ours = stored != null && stored.version() == tokens[shard];
    if (!ours && replica.revision() >= tokens[shard]) {
      stepDown(shard);
    }
  }

  private boolean yielding() {
    return loop.nowMs() - yieldedMs < workerLeaseMs && lastWorkerContactMs <= yieldedMs;
  }

  private void leaveVacant(int shard, VersionedValue stored) {
    vacantSinceMs[shard] = NOT_VACANT;
    if (stored != null && nodeName.equals(leaderIn(stored))) {
      resign(shard, stored.version());
    }
  }

  /** A record of ours is from before a restart, or its commit was never answered. */
  private void reclaim(int shard, VersionedValue stored) {
    vacantSinceMs[shard] = NOT_VACANT;
    if (nodeName.equals(leaderIn(stored))) {
      campaign(shard, stored.version());
    }
  }

  /** Controllers campaign one after the other, so that shards spread evenly over them. */
  private void campaignInTurn(int shard) {
    long now = loop.nowMs();
    if (vacantSinceMs[shard] == NOT_VACANT) {
      vacantSinceMs[shard] = now;
    }
    long delayMs = RANK_DELAY_MS * layout.rank(shard, nodeName) + LOAD_DELAY_MS * shardsLed();
    if (now - vacantSinceMs[shard] >= delayMs) {
      campaign(shard, ABSENT);
    }
  }

  private int shardsLed() {
    int led = 0;
    for (long token : tokens) {
      led += token != NOT_LEADER ? 1 : 0;
    }
    return led;
  }

  private void campaign(int shard, long expectedVersion) {
    writing[shard] = true;
    long leaseId = lease.id();
    String key = ShardLeaderRecord.key(shard);
    store.commit(
        new TransactionBuilder()
            .ifVersion(key, expectedVersion)
            .putWithLease(key, new ShardLeaderRecord(nodeName), leaseId),
        outcome -> settleCampaign(shard, leaseId, outcome));
  }

  private void settleCampaign(int shard, long leaseId, TransactionOutcome outcome) {
    writing[shard] = false;
    vacantSinceMs[shard] = NOT_VACANT;
    if (outcome.applied() && lease.id() == leaseId) {
      tokens[shard] = outcome.revision();
      LOG.info("leader elected: shard={} token={}", shard, tokens[shard]);
      listener.elected(shard, tokens[shard]);
    }
  }

  private void resign(int shard, long version) {
    writing[shard] = true;
    String key = ShardLeaderRecord.key(shard);
    store.commit(
        new TransactionBuilder().ifVersion(key, version).delete(key),
        outcome -> writing[shard] = false);
  }
}
