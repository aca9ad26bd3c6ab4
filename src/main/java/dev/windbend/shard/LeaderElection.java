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

  private static final long CHECK_INTERVAL_MS = 250;

  /** How much later each next controller in a shard's order of preference campaigns. */
  private static final long RANK_DELAY_MS = 600;

  /** How much later a controller campaigns for each shard that it leads already. */
  private static final long LED_SHARD_DELAY_MS = 900;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;
  private static final long NOT_VACANT = -1;
  private static final long NOT_LEADER = 0;

  /** The version that a record must have which must not exist. */
  private static final long ABSENT_VERSION = 0;

  private final EventLoop loop;
  private final StoreClient store;
  private final Replica replica;
  private final ShardLayout layout;
  private final String controllerName;
  private final ControllerLease lease;
  private final long workerLeaseMs;
  private final Listener listener;

  /** By shard: the fencing token, or {@link #NOT_LEADER}. */
  private final long[] tokens;

  /** By shard: since when it has no leader, or {@link #NOT_VACANT}. */
  private final long[] vacantSinceMs;

  /** By shard: a transaction on its record is under way. */
  private final boolean[] writePending;

  private long lastWorkerContactMs = NEVER_MS;
  private long yieldedMs = NEVER_MS;

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
   * @param controllerName this controller's name
   * @param leaseTermMs for how long the state service grants the lease that leadership is bound to
   * @param workerLeaseMs for how long the lease of a worker's agent lasts
   */
  public LeaderElection(
      EventLoop loop,
      StoreClient store,
      Replica replica,
      ShardLayout layout,
      String controllerName,
      long leaseTermMs,
      long workerLeaseMs,
      Listener listener) {
    this.loop = loop;
    this.store = store;
    this.replica = replica;
    this.layout = layout;
    this.controllerName = controllerName;
    this.lease = new ControllerLease(loop, store, leaseTermMs, this::stepDownFromAll);
    this.workerLeaseMs = workerLeaseMs;
    this.listener = listener;
    this.tokens = new long[layout.shardCount()];
    this.vacantSinceMs = new long[layout.shardCount()];
    this.writePending = new boolean[layout.shardCount()];
    Arrays.fill(vacantSinceMs, NOT_VACANT);
  }

  /** Acquires the lease, and campaigns from then on wherever a leader is lacking. */
  public void start() {
    lease.acquire();
    checkShards();
  }

  /** The lease can't have expired, whatever the clocks do. */
  public boolean isLeaseValid() {
    return lease.isValid();
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
    return readLeader(replica.get(ShardLeaderRecord.key(shard)));
  }

  private static String readLeader(VersionedValue stored) {
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
    if (token != NOT_LEADER && layout.controllerCount() > 1) {
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

  private void checkShards() {
    if (replica.synced()) {
      for (int shard = 0; shard < tokens.length; shard++) {
        checkShard(shard);
      }
    }
    loop.after(CHECK_INTERVAL_MS, this::checkShards);
  }

  private void checkShard(int shard) {
    VersionedValue stored = replica.get(ShardLeaderRecord.key(shard));
    if (isLeader(shard)) {
      verifyLeadership(shard, stored);
    } else if (!writePending[shard] && isLeaseValid()) {
      if (campaignsSuspended()) {
        skipCampaign(shard, stored);
      } else if (stored != null) {
        reclaim(shard, stored);
      } else {
        campaignAfterDelay(shard);
      }
    }
  }

  private void verifyLeadership(int shard, VersionedValue stored) {
    boolean recordMatches = stored != null && stored.version() == tokens[shard];
    if (!recordMatches && replica.revision() >= tokens[shard]) {
      stepDown(shard);
    }
  }

  private boolean campaignsSuspended() {
    return loop.nowMs() - yieldedMs < workerLeaseMs && lastWorkerContactMs <= yieldedMs;
  }

  private void skipCampaign(int shard, VersionedValue stored) {
    vacantSinceMs[shard] = NOT_VACANT;
    if (stored != null && controllerName.equals(readLeader(stored))) {
      resign(shard, stored.version());
    }
  }

  /** A record of ours is from before a restart, or its commit was never answered. */
  private void reclaim(int shard, VersionedValue stored) {
    vacantSinceMs[shard] = NOT_VACANT;
    if (controllerName.equals(readLeader(stored))) {
      campaign(shard, stored.version());
    }
  }

  /** Controllers campaign one after the other, so that shards spread evenly over them. */
  private void campaignAfterDelay(int shard) {
    long now = loop.nowMs();
    if (vacantSinceMs[shard] == NOT_VACANT) {
      vacantSinceMs[shard] = now;
    }
    long delayMs =
        RANK_DELAY_MS * layout.rank(shard, controllerName) + LED_SHARD_DELAY_MS * ledShardCount();
    if (now - vacantSinceMs[shard] >= delayMs) {
      campaign(shard, ABSENT_VERSION);
    }
  }

  private int ledShardCount() {
    int count = 0;
    for (long token : tokens) {
      count += token != NOT_LEADER ? 1 : 0;
    }
    return count;
  }

  private void campaign(int shard, long expectedVersion) {
    writePending[shard] = true;
    long leaseId = lease.id();
    String key = ShardLeaderRecord.key(shard);
    store.commit(
        new TransactionBuilder()
            .ifVersion(key, expectedVersion)
            .putWithLease(key, new ShardLeaderRecord(controllerName), leaseId),
        outcome -> handleCampaignOutcome(shard, leaseId, outcome));
  }

  private void handleCampaignOutcome(int shard, long leaseId, TransactionOutcome outcome) {
    writePending[shard] = false;
    vacantSinceMs[shard] = NOT_VACANT;
    if (outcome.applied() && lease.id() == leaseId) {
      tokens[shard] = outcome.revision();
      LOG.info("leader elected: shard={} token={}", shard, tokens[shard]);
      listener.elected(shard, tokens[shard]);
    }
  }

  private void resign(int shard, long version) {
    writePending[shard] = true;
    String key = ShardLeaderRecord.key(shard);
    store.commit(
        new TransactionBuilder().ifVersion(key, version).delete(key),
        outcome -> writePending[shard] = false);
  }
}
