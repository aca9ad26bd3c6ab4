package dev.windbend.shard;

import dev.windbend.peer.MachineTransferMessages;
import dev.windbend.runtime.ServerResponse;
import dev.windbend.store.VersionedValue;
import dev.windbend.worker.WorkerMessages;
import dev.windbend.zone.ZoneStatus;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A shard that this controller leads, for one term, as seen from outside: takes the shard over, and
 * takes to its services what comes in.
 */
public final class ShardLeader {
  private static final Logger LOG = LoggerFactory.getLogger(ShardLeader.class);

  private final ShardContext context;
  private final ShardServices services;

  /**
   * Makes a leader that begins with {@link #start}.
   *
   * @param token the fencing token that the controller was elected with
   */
  public ShardLeader(int shard, long token, ShardContext context) {
    this.context = context;
    this.services = new ShardServices(shard, token, context);
  }

  /** Takes the shard over as soon as the replica shows all that former leaders can have written. */
  public void start() {
    services.failover.run(this::onRecovered);
  }

  private void onRecovered(long nowMs) {
    services.zones.recover(context.machines().catalog().zones());
    services.leadership.markRecovered();
    LOG.info(
        "shard taken over: shard={} token={} jobs={} machines={}",
        services.leadership.shard(),
        services.leadership.token(),
        liveJobCount(),
        machineCount());
    services.rampUp.start();
    services.reconciliation.start(nowMs);
  }

  /** Ends the term: nothing is written or ordered any more, and answers held back are 503. */
  public void close() {
    services.leadership.end();
    services.committer.close();
    services.fleet.close();
    services.orphanedMachines.close();
    services.heartbeats.close();
  }

  /** Whether the shard's jobs and machines are known, and the term has not ended. */
  public boolean ready() {
    return services.leadership.ready();
  }

  /** How many live jobs the shard has. */
  public int liveJobCount() {
    return services.registry.all().size();
  }

  /** The age of the oldest job of which tasks wait, when it was last logged; 0: none waits. */
  public int oldestWaitSeconds() {
    return services.statusLog.oldestWaitSeconds();
  }

  /** How many machines the shard has, those that are booting or leaving included. */
  public int machineCount() {
    return services.fleet.machines().size();
  }

  /** The state of each zone that is monitored. */
  public List<ZoneStatus> zoneStatuses() {
    return services.zones.status();
  }

  /**
   * A live job's record has changed in the state service.
   *
   * @param record null: it is gone
   */
  public void jobRecordChanged(String uid, VersionedValue record) {
    services.jobs.recordChanged(uid, record);
  }

  /** A cancellation was confirmed to the user, though the replica may not show it yet. */
  public void cancel(String uid) {
    services.jobs.cancel(uid);
  }

  /**
   * A record of machines has changed in the state service.
   *
   * @param record null: it is gone
   */
  public void machineRecordChanged(String key, VersionedValue record) {
    services.machines.recordChanged(key, record);
  }

  /** Whether the machine is of this shard. */
  public boolean hasMachine(String machine) {
    return services.machines.hasMachine(machine);
  }

  /** A heartbeat came from a machine that no shard has on record; only the first shard adopts. */
  public void handleOrphanHeartbeat(WorkerMessages.Heartbeat heartbeat) {
    services.machines.handleOrphanHeartbeat(heartbeat);
  }

  /**
   * Takes in a heartbeat of one of the shard's machines.
   *
   * @param onResponse called once with the answer, which may wait for work or for a write
   */
  public void handleHeartbeat(
      WorkerMessages.Heartbeat heartbeat, Consumer<ServerResponse> onResponse) {
    services.heartbeats.handle(heartbeat, onResponse);
  }

  /** Transfers machines to another shard, as many as can be spared. */
  public MachineTransferMessages.Reply transfer(
      int toShard, MachineTransferMessages.Request request) {
    return services.leadership.mayAct()
        ? services.transfers.transfer(toShard, request)
        : MachineTransferMessages.Reply.NONE;
  }
}
