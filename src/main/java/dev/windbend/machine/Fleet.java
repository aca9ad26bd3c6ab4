package dev.windbend.machine;

import dev.windbend.runtime.EventLoop;
import dev.windbend.store.PendingWrite;
import java.util.Collection;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * The machines of one shard. The desired and the actual set of machines differ by pending scale-out
 * requests and by machines being terminated; the calls for both are retried until the cloud has
 * given a definite response.
 */
public final class Fleet {
  private final Listener listener;
  private final FleetRecords records;
  private final ScaleOut scaleOut;
  private final ScaleIn scaleIn;
  private final TransferWriter transfers;
  private final CloudReconciliation reconciliation;
  private boolean closed;

  /** Is notified of changes of the fleet, and decides whether the fleet may call the cloud. */
  public interface Listener {
    /** A record of machines differs from its stored version and has to be written. */
    void recordChanged(PendingWrite record);

    /** The cloud has confirmed that the machine and all processes on it are terminated. */
    void machineTerminated(Machine machine);

    /** New machines have been granted, or a scale-out request was refused. */
    void fleetChanged();

    /** Whether this controller is certain to lead the shard now. */
    boolean mayAct();
  }

  /**
   * Machines of a scale-out request that the cloud has not answered yet.
   *
   * @param zone dense index of the zone
   * @param sinceMs when they were requested (monotonic clock)
   */
  public record PendingScaleOut(
      MachineType type, int zone, boolean spot, int count, long sinceMs) {}

  /**
   * Creates a fleet without machines.
   *
   * @param token fencing token under which this controller leads the shard
   */
  public Fleet(
      EventLoop loop,
      CloudClient cloud,
      MachineTypeCatalog catalog,
      int shard,
      long token,
      Listener listener) {
    this.listener = listener;
    RecordNames names = new RecordNames(shard, token);
    this.records = new FleetRecords(loop, catalog, shard, listener);
    this.scaleOut =
        new ScaleOut(loop, cloud, catalog, records, names, listener, this::processPending);
    this.scaleIn = new ScaleIn(loop, cloud, records, listener, this::processPending);
    this.transfers = new TransferWriter(catalog, records, names, listener);
    this.reconciliation = new CloudReconciliation(loop, cloud, records, scaleIn);
  }

  /** This controller no longer leads the shard: ignores all later responses. */
  public void close() {
    closed = true;
    scaleOut.close();
    scaleIn.close();
    reconciliation.close();
  }

  /** All machines, in the order in which they were added. A live view. */
  public Collection<Machine> machines() {
    return records.machines();
  }

  /** The machine with this name; null if the shard has no such machine. */
  public Machine find(String name) {
    return records.find(name);
  }

  /**
   * Restores a record that was found in the state service, or has just been transferred to this
   * shard. An unanswered scale-out request is sent again under its name. The machines of an
   * answered one are added to the shard unless a later record names them.
   *
   * @param version version of the record in the state service
   * @param inherited whether a previous leader wrote the record
   */
  public void restore(
      String name, ScaleOutRecord record, long version, MachineIndex index, boolean inherited) {
    records.restore(name, record, version, index, inherited);
  }

  /** Whether requests of this kind are backed off because the cloud recently lacked capacity. */
  public boolean recentlyRefused(int type, int zone, boolean spot) {
    return scaleOut.recentlyRefused(new InstanceKind(type, zone, spot));
  }

  /** Whether requests of at least one kind of machine are backed off. */
  public boolean anyRecentlyRefused() {
    return scaleOut.anyRecentlyRefused();
  }

  /** Machines that have been requested, without a response from the cloud yet. */
  public Collection<PendingScaleOut> pendingScaleOuts() {
    return scaleOut.pending();
  }

  /** Requests machines from the cloud; only one batch if the cloud last lacked this kind. */
  public void scaleOut(MachineType type, int zone, boolean spot, int count) {
    scaleOut.request(type, zone, spot, count);
  }

  /** Assigns orphaned machines to a shard, which may be this one. */
  void adopt(OrphanedMachine kind, List<String> machineNames, int toShard) {
    transfers.adopt(kind, machineNames, toShard);
  }

  /** Transfers empty machines to another shard; this shard stops using them immediately. */
  public void transfer(Collection<Machine> machines, int toShard) {
    transfers.transfer(machines, toShard);
  }

  /** Removes requests that have no machines left. To be called after records were written. */
  public void afterWrite() {
    records.finishEmptied();
  }

  /**
   * Returns a machine to the cloud.
   *
   * @param cause reason, for the log
   */
  public void scaleIn(Machine machine, String cause) {
    scaleIn(List.of(machine), cause);
  }

  /** Returns machines to the cloud in this order, in as few calls as possible. */
  public void scaleIn(List<Machine> machines, String cause) {
    scaleIn.request(machines, cause);
  }

  /** Number of machines whose termination is not confirmed yet. */
  public int terminatingCount() {
    return scaleIn.terminatingCount();
  }

  /** Sends pending scale-out requests, and the next batch of machines to terminate. */
  public void processPending() {
    if (closed || !listener.mayAct()) {
      return;
    }
    scaleOut.sendPending();
    scaleIn.sendNextBatch();
  }

  /**
   * Scales in inherited machines that have sent no heartbeat and are not listed by the cloud. The
   * cloud may have reclaimed some of them while the shard had no leader; waiting for the heartbeat
   * timeout alone would detect that late. To be called once the list must contain all machines that
   * were requested before the failover.
   */
  public void returnUnlistedInherited() {
    reconciliation.returnUnlistedInherited();
  }

  /**
   * Searches the cloud's list of instances for failed machines of this shard, which are scaled in,
   * and for machines that no shard has on record. The list lags behind, so a machine counts as
   * orphaned only after it has been unknown for {@code orphanedAfterMs}.
   *
   * @param orphanedAfterMs how long a machine must have been unknown
   * @param isKnown whether any shard has the named machine on record
   * @param onOrphaned receives the name and kind of each orphaned machine
   */
  public void reconcileWithCloud(
      long orphanedAfterMs,
      Predicate<String> isKnown,
      BiConsumer<String, OrphanedMachine> onOrphaned) {
    reconciliation.reconcile(orphanedAfterMs, isKnown, onOrphaned);
  }
}
