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
 * bound to its lease, on condition that the shard has no record. The revision at which the record
 * was written is the fencing token of all orders and writes of that leader.
 */
public final class LeaderElection {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

  private static final long CHECK_INTERVAL_MS = 250;

  /** Campaign delay for each controller that precedes this one in the shard's preference order. */
  private static final long RANK_DELAY_MS = 600;

  /** Campaign delay for each shard that this controller already leads. */
  private static final long LED_SHARD_DELAY_MS = 900;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;
  private static final long NOT_VACANT = -1;
  private static final long NOT_LEADER = 0;

  /** The expected version in a condition that a record does not exist. */
  private static final long ABSENT_VERSION = 0;

  private final EventLoop loop;
  private final StoreClient store;
  private final Replica replica;
  private final ShardLayout layout;
  private final String controllerName;
  private final ControllerLease lease;
  private final long workerLeaseMs;
  private final Listener listener;

  /** By shard: the fencing token of this controller, or {@link #NOT_LEADER}. */
  private final long[] tokens;

  /**
   * By shard: when this controller first found no leader record (monotonic clock), or {@link
   * #NOT_VACANT}.
   */
  private final long[] vacantSinceMs;

  /** By shard: whether a transaction on its leader record is in flight. */
  private final boolean[] writePending;

  private long lastWorkerContactMs = NEVER_MS;
  private long yieldedMs = NEVER_MS;

  /** Is notified when this controller becomes or stops being the leader of a shard. */
  public interface Listener {
    /** This controller was elected leader of the shard, with this fencing token. */
    void elected(int shard, long token);

    /** This controller is no longer the leader of the shard. */
    void deposed(int shard);
  }

  /**
   * Creates an election that does nothing until {@link #start}.
   *
   * @param controllerName this controller's name
   * @param leaseTermMs the term of the controller's lease, which its leadership is bound to
   * @param workerLeaseMs the term of a worker's lease
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

  /** Acquires the lease and starts to campaign for shards without a leader. */
  public void start() {
    lease.acquire();
    checkShards();
  }

  /** Whether the lease is certain to be unexpired, allowing for clock drift. */
  public boolean isLeaseValid() {
    return lease.isValid();
  }

  /**
   * Whether this controller was elected leader of the shard and has not stepped down since. The
   * lease may have expired meanwhile; see {@link #isLeaseValid}.
   */
  public boolean isLeader(int shard) {
    return tokens[shard] != NOT_LEADER;
  }

  /**
   * The name of the shard's leader according to the replica.
   *
   * @return null if the replica has no valid leader record
   */
  public String leaderOf(int shard) {
    return readLeader(replica.get(ShardLeaderRecord.key(shard)));
  }

  private static String readLeader(VersionedValue stored) {
    ShardLeaderRecord leader =
        stored == null ? null : Json.read(stored.value(), ShardLeaderRecord.class);
    return leader == null ? null : leader.leader();
  }

  /**
   * Ends this controller's leadership of the shard. Also called when a write was rejected because
   * the leader record has changed. Does nothing if this controller is not the leader.
   */
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
   * Gives up leadership of a shard whose workers cannot reach this controller, although the state
   * service can be reached, so that a controller that the workers can reach may be elected. This
   * controller then campaigns for no shard until a worker reaches it again, or until the term of a
   * worker's lease has passed. Does nothing if this controller is not the leader, or is the only
   * controller.
   */
  public void yieldLeadership(int shard) {
    long token = tokens[shard];
    if (token != NOT_LEADER && layout.controllerCount() > 1) {
      LOG.warn(
          "leadership yielded: shard={} token={} cause=\"no heartbeats received\"", shard, token);
      yieldedMs = loop.nowMs();
      stepDown(shard);
      resign(shard, token);
    }
  }

  /** When a worker last reached this controller (monotonic clock, ms). */
  public long lastWorkerContactMs() {
    return lastWorkerContactMs;
  }

  /** Records that a worker has reached this controller now. */
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

  /**
   * Campaigns again if the record names this controller although it is not the leader. Such a
   * record was written before a restart, or by a commit whose response was lost.
   */
  private void reclaim(int shard, VersionedValue stored) {
    vacantSinceMs[shard] = NOT_VACANT;
    if (controllerName.equals(readLeader(stored))) {
      campaign(shard, stored.version());
    }
  }

  /** Delays the campaign by rank and number of shards led, to spread shards over controllers. */
  private void campaignAfterDelay(int shard) {
    long nowMs = loop.nowMs();
    if (vacantSinceMs[shard] == NOT_VACANT) {
      vacantSinceMs[shard] = nowMs;
    }
    long delayMs =
        RANK_DELAY_MS * layout.rank(shard, controllerName) + LED_SHARD_DELAY_MS * ledShardCount();
    if (nowMs - vacantSinceMs[shard] >= delayMs) {
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
