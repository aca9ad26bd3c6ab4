package dev.windbend.shard;

import dev.windbend.machine.Fleet;
import dev.windbend.machine.HeartbeatTaskLimit;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineType;
import dev.windbend.peer.MachineTransferMessages;
import dev.windbend.plan.InstanceOffer;
import dev.windbend.plan.MachineAttributes;
import dev.windbend.plan.Resources;
import dev.windbend.plan.SchedulingDecision;
import dev.windbend.runtime.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Obtains the machines that a scheduling cycle lacks, first from other shards and then from the
 * cloud, and releases machines that the cycle does not need.
 */
final class CapacityProvisioner {
  /**
   * Event-triggered cycles are frequent, and each scale-out costs a write to the state service and
   * a request to the cloud.
   */
  private static final long MIN_SCALE_OUT_INTERVAL_MS = 2_000;

  private static final int MAX_PENDING_SCALE_OUTS = 8;

  private final EventLoop loop;
  private final ShardState state;
  private final StarvedJobs starvedJobs;
  private final MachineTransfers transfers;
  private final BooleanSupplier mayAct;
  private long lastScaleOutMs = Long.MIN_VALUE / 2;

  CapacityProvisioner(
      EventLoop loop,
      ShardState state,
      StarvedJobs starvedJobs,
      MachineTransfers transfers,
      BooleanSupplier mayAct) {
    this.loop = loop;
    this.state = state;
    this.starvedJobs = starvedJobs;
    this.transfers = transfers;
    this.mayAct = mayAct;
  }

  /**
   * The kinds of machine that the cloud offers, by type and zone, spot instances before standard
   * ones. Kinds that must not be requested now are included as unavailable.
   */
  List<InstanceOffer> offers() {
    List<InstanceOffer> offers = new ArrayList<>();
    for (MachineType type : state.catalog().all()) {
      Resources capacity = MachineCapacityBuilder.resources(type, HeartbeatTaskLimit.MAX_TASKS);
      for (int zone : type.zones()) {
        addOffer(offers, type, capacity, zone, true);
        addOffer(offers, type, capacity, zone, false);
      }
    }
    return offers;
  }

  private void addOffer(
      List<InstanceOffer> offers, MachineType type, Resources capacity, int zone, boolean spot) {
    boolean available =
        !state.fleet().recentlyRefused(type.index(), zone, spot)
            && state.zones().scaleOutLimit(zone) > 0;
    double price = spot ? type.spotPrice() : type.onDemandPrice();
    MachineAttributes kind =
        new MachineAttributes(type.index(), zone, spot, price, type.fetchGbPerSecond());
    offers.add(new InstanceOffer(kind, capacity, Units.toMs(type.bootSeconds()), available));
  }

  /**
   * Offers machines to other shards, in place of the previous offer.
   *
   * @param indices positions in {@code machines} of the machines that are idle and not reserved for
   *     tasks
   */
  void offerForTransfer(List<Integer> indices, List<Machine> machines) {
    List<Machine> idleMachines = new ArrayList<>();
    for (int index : indices) {
      idleMachines.add(machines.get(index));
    }
    transfers.setIdleMachines(idleMachines);
  }

  /**
   * Requests the lacking machines from the other shards, and from the cloud those that the other
   * shards do not transfer.
   *
   * @param nowMs monotonic clock
   */
  void acquire(SchedulingDecision decision, List<InstanceOffer> offers, long nowMs) {
    // The search for starved jobs iterates over all jobs and machines, so it runs only if other
    // shards may be asked for machines now.
    boolean mayRequest = transfers.mayRequest();
    MachineTransferMessages.OverdueTasks starvedTasks =
        mayRequest && transfers.mayRequestForOverdue()
            ? starvedJobs.tasksWithoutCapacity(nowMs).orElse(null)
            : null;
    if (mayRequest && (decision.coresAwaitingMachines() > 0 || starvedTasks != null)) {
      transfers.request(
          decision.coresAwaitingMachines(),
          state.catalog().maxCores(),
          !state.fleet().anyRecentlyRefused(),
          starvedTasks,
          incomingMachines -> {
            if (mayAct.getAsBoolean()) {
              scaleOut(decision.scaleOuts(), offers, incomingMachines);
            }
          });
    } else if (!transfers.requestPending()) {
      scaleOut(decision.scaleOuts(), offers, 0);
    }
  }

  /**
   * Requests machines from the cloud, unless the last scale-out was too recent or too many are
   * pending.
   *
   * @param incomingMachines number of machines that other shards transfer, which is subtracted from
   *     the number to request
   */
  private void scaleOut(
      List<SchedulingDecision.RequestedMachines> requests,
      List<InstanceOffer> offers,
      int incomingMachines) {
    long nowMs = loop.nowMs();
    if (requests.isEmpty()
        || state.fleet().pendingScaleOuts().size() > MAX_PENDING_SCALE_OUTS
        || nowMs - lastScaleOutMs < MIN_SCALE_OUT_INTERVAL_MS) {
      return;
    }
    lastScaleOutMs = nowMs;
    int machinesFromTransfers = incomingMachines;
    for (SchedulingDecision.RequestedMachines request : requests) {
      MachineAttributes kind = offers.get(request.offer()).attributes();
      int machines =
          Math.min(
              state.zones().scaleOutLimit(kind.zone()),
              Math.max(0, request.count() - machinesFromTransfers));
      machinesFromTransfers = Math.max(0, machinesFromTransfers - request.count());
      if (machines > 0) {
        state
            .fleet()
            .scaleOut(state.catalog().type(kind.type()), kind.zone(), kind.spot(), machines);
        state.zones().recordScaleOut(kind.zone(), machines);
      }
    }
  }

  /** Returns machines to the cloud that the planner no longer needs. */
  void scaleIn(SchedulingDecision decision, List<Machine> machines) {
    Fleet fleet = state.fleet();
    for (int index : decision.scaleIns()) {
      fleet.scaleIn(machines.get(index), "idle at the end of its billing block");
    }
  }
}
