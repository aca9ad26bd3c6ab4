package dev.windbend.shard;

import dev.windbend.machine.Machine;
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
 * The entry point to a shard that this controller leads, for one term: recovers the shard and
 * forwards heartbeats, record changes and requests to its services.
 */
public final class ShardLeader {
  private static final Logger LOG = LoggerFactory.getLogger(ShardLeader.class);

  private final ShardContext context;
  private final ShardServices services;

  /**
   * Creates a leader that does nothing until {@link #start}.
   *
   * @param token the fencing token with which the controller was elected
   */
  public ShardLeader(int shard, long token, ShardContext context) {
    this.context = context;
    this.services = new ShardServices(shard, token, context);
  }

  /**
   * Recovers the shard once the replica contains all writes that previous leaders can have made.
   */
  public void start() {
    services.failover.run(this::onRecovered);
  }

  private void onRecovered(long nowMs) {
    services.zones.recover(context.machines().catalog().zones());
    services.leadership.markRecovered();
    LOG.info(
        "shard recovered: shard={} token={} jobs={} machines={}",
        services.leadership.shard(),
        services.leadership.token(),
        liveJobCount(),
        machineCount());
    services.rampUp.start();
    services.reconciliation.start(nowMs);
  }

  /** Ends the term: writes and orders stop, and held heartbeats are answered with status 503. */
  public void close() {
    services.leadership.end();
    services.committer.close();
    services.fleet.close();
    services.orphanedMachines.close();
    services.heartbeats.close();
  }

  /** Whether the shard is recovered and the term has not ended. */
  public boolean ready() {
    return services.leadership.ready();
  }

  /** The number of live jobs of the shard. */
  public int liveJobCount() {
    return services.registry.all().size();
  }

  /** The age in seconds of the oldest job with waiting tasks, when last logged; 0 if none. */
  public int oldestWaitSeconds() {
    return services.statusLog.oldestWaitSeconds();
  }

  /** The number of machines of the shard, including those booting or being returned. */
  public int machineCount() {
    return services.fleet.machines().size();
  }

  /** The number of machines that get no more tasks, or no more small ones, whatever is free. */
  public int machinesAtTaskLimit() {
    return (int) services.fleet.machines().stream().filter(Machine::atTaskLimit).count();
  }

  /** The status of each monitored zone; empty if zone monitoring is disabled. */
  public List<ZoneStatus> zoneStatuses() {
    return services.zones.status();
  }

  /**
   * Handles a change of a live job's record in the state service.
   *
   * @param record null if the record was deleted
   */
  public void jobRecordChanged(String uid, VersionedValue record) {
    services.jobs.recordChanged(uid, record);
  }

  /** Cancels a job whose cancellation was confirmed to the user; the replica may lag behind. */
  public void cancel(String uid) {
    services.jobs.cancel(uid);
  }

  /**
   * Handles a change of a machine record in the state service.
   *
   * @param record null if the record was deleted
   */
  public void machineRecordChanged(String key, VersionedValue record) {
    services.machines.recordChanged(key, record);
  }

  /** Whether the machine with this name belongs to this shard. */
  public boolean hasMachine(String machine) {
    return services.machines.hasMachine(machine);
  }

  /**
   * Handles a heartbeat of a machine that is in no shard's records. Called for the first shard
   * only, whose leader adopts such machines.
   */
  public void handleOrphanHeartbeat(WorkerMessages.Heartbeat heartbeat) {
    services.machines.handleOrphanHeartbeat(heartbeat);
  }

  /**
   * Handles a heartbeat of one of the shard's machines.
   *
   * @param onResponse called once with the response, which may be held until there is work for the
   *     machine or a write is committed
   */
  public void handleHeartbeat(
      WorkerMessages.Heartbeat heartbeat, Consumer<ServerResponse> onResponse) {
    services.heartbeats.handle(heartbeat, onResponse);
  }

  /**
   * Handles another shard's request for machines; transfers and reserves those that can be spared.
   */
  public MachineTransferMessages.Reply transfer(
      int toShard, MachineTransferMessages.Request request) {
    return services.leadership.mayAct()
        ? services.transfers.transfer(toShard, request)
        : MachineTransferMessages.Reply.NONE;
  }
}
