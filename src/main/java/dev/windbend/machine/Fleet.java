package dev.windbend.machine;

import dev.windbend.runtime.EventLoop;
import dev.windbend.store.PendingWrite;
import java.util.Collection;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * The machines of one shard. Wanted and actual differ by scale-out requests under way and machines
 * being returned; both are pursued until the cloud has surely answered.
 */
public final class Fleet {
  private final Listener listener;
  private final FleetRecords records;
  private final ScaleOut scaleOut;
  private final ScaleIn scaleIn;
  private final TransferWriter transfers;
  private final CloudReconciliation reconciliation;
  private boolean closed;

  /** Hears of changes of the fleet, and says whether it may act. */
  public interface Listener {
    /** A record of machines differs from what is stored, and is to be written. */
    void recordChanged(PendingWrite record);

    /** The cloud has confirmed: the machine and all that was on it are gone. */
    void machineTerminated(Machine machine);

    /** New machines are on their way, or a scale-out request was refused. */
    void fleetChanged();

    /** Whether this controller certainly leads the shard. */
    boolean mayAct();
  }

  /**
   * Machines requested of the cloud, which has not answered yet.
   *
   * @param zone dense index of the zone
   * @param sinceMs when they were requested (steady clock)
   */
  public record PendingScaleOut(
      MachineType type, int zone, boolean spot, int count, long sinceMs) {}

  /**
   * A fleet without machines.
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

  /** The shard is not led here any more: answers that come later change nothing. */
  public void close() {
    closed = true;
    scaleOut.close();
    scaleIn.close();
    reconciliation.close();
  }

  /** All machines, in the order in which they came. A view. */
  public Collection<Machine> machines() {
    return records.machines();
  }

  /** Null if it is not of this shard. */
  public Machine find(String name) {
    return records.find(name);
  }

  /**
   * A record found in the state service, or just transferred to this shard. A scale-out request
   * without an answer is sent again under its name; of the others the machines are this shard's
   * unless a later record names them.
   *
   * @param version of the record
   * @param inherited whether it is a former leader's
   */
  public void restore(
      String name, ScaleOutRecord record, long version, MachineIndex index, boolean inherited) {
    records.restore(name, record, version, index, inherited);
  }

  /** Not to be requested now: the cloud had not enough of them a moment ago. */
  public boolean recentlyRefused(int type, int zone, boolean spot) {
    return scaleOut.recentlyRefused(new InstanceKind(type, zone, spot));
  }

  /** At least one kind of machine is not to be requested now. */
  public boolean anyRecentlyRefused() {
    return scaleOut.anyRecentlyRefused();
  }

  /** Machines requested and not granted yet. */
  public Collection<PendingScaleOut> pendingScaleOuts() {
    return scaleOut.pending();
  }

  /** Requests machines of the cloud; of a kind that it lacked last, one batch only. */
  public void scaleOut(MachineType type, int zone, boolean spot, int count) {
    scaleOut.request(type, zone, spot, count);
  }

  /** Gives orphaned machines to a shard, which may be this one. */
  void adopt(OrphanedMachine kind, List<String> machineNames, int toShard) {
    transfers.adopt(kind, machineNames, toShard);
  }

  /** Gives empty machines to another shard; they are used no more from now on. */
  public void transfer(Collection<Machine> machines, int toShard) {
    transfers.transfer(machines, toShard);
  }

  /** Takes note of what has been written: machines transferred, requests that are complete. */
  public void afterWrite() {
    records.finishEmptied();
  }

  /** Returns a machine to the cloud. */
  public void scaleIn(Machine machine, String cause) {
    scaleIn(List.of(machine), cause);
  }

  /** Returns machines to the cloud in this order, in as few calls as there can be. */
  public void scaleIn(List<Machine> machines, String cause) {
    scaleIn.request(machines, cause);
  }

  /** How many machines are being returned. */
  public int terminatingCount() {
    return scaleIn.terminatingCount();
  }

  /** Pursues what is under way: requests to send, machines to return. */
  public void processPending() {
    if (closed || !listener.mayAct()) {
      return;
    }
    scaleOut.sendPending();
    scaleIn.sendNextBatch();
  }

  /**
   * Returns inherited machines that have sent no heartbeat and are not listed by the cloud: some
   * may have been taken away while the shard had no leader, and silence alone would tell late. To
   * be called once all that was requested before must be listed.
   */
  public void returnUnlistedInherited() {
    reconciliation.returnUnlistedInherited();
  }

  /**
   * Looks through the cloud's list for failed machines of ours, and for machines that no shard
   * knows. The list lags, so those must stay unknown for long.
   *
   * @param orphanedAfterMs how long a machine must have been unknown
   * @param isKnown whether some shard knows a machine
   * @param onOrphaned takes the orphaned machines
   */
  public void reconcileWithCloud(
      long orphanedAfterMs,
      Predicate<String> isKnown,
      BiConsumer<String, OrphanedMachine> onOrphaned) {
    reconciliation.reconcile(orphanedAfterMs, isKnown, onOrphaned);
  }
}
