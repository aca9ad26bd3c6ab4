package dev.windbend.shard;

import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineType;
import dev.windbend.peer.MachineTransferMessages;
import dev.windbend.plan.SchedulingDecision;
import dev.windbend.plan.Snapshot;
import dev.windbend.runtime.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Gets the machines that a scheduling cycle lacks, first from other shards and then from the cloud,
 * and parts with those that it doesn't need.
 */
final class CapacityProvisioner {
  /** Cycles on events are many, and each scale-out takes a write and a request to the cloud. */
  private static final long SCALE_OUT_GAP_MS = 2_000;

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

  /** The machine types that the cloud may be asked for now, by zone, spot instances first. */
  List<Snapshot.InstanceOffer> offers() {
    List<Snapshot.InstanceOffer> offers = new ArrayList<>();
    for (MachineType type : state.catalog().all()) {
      Snapshot.Size size = new Snapshot.Size(type.cores(), type.gpus(), type.memoryGb());
      for (int zone : type.zones()) {
        addOffer(offers, type, size, zone, true);
        addOffer(offers, type, size, zone, false);
      }
    }
    return offers;
  }

  private void addOffer(
      List<Snapshot.InstanceOffer> offers,
      MachineType type,
      Snapshot.Size size,
      int zone,
      boolean spot) {
    if (state.fleet().isRefused(type.index(), zone, spot) || state.zones().rentable(zone) <= 0) {
      return;
    }
    offers.add(
        new Snapshot.InstanceOffer(
            type.index(),
            zone,
            spot,
            size,
            spot ? type.spotPrice() : type.price(),
            Units.toMs(type.bootS()),
            type.fetchGbPerS()));
  }

  /** Other shards may get the machines with these indices, which are idle and not reserved. */
  void offerForTransfer(List<Integer> indices, List<Machine> machines) {
    List<Machine> idle = new ArrayList<>();
    for (int index : indices) {
      idle.add(machines.get(index));
    }
    transfers.setIdleMachines(idle);
  }

  /** Requests the lacking machines of the other shards, and of the cloud what they don't give. */
  void acquire(SchedulingDecision decision, List<Snapshot.InstanceOffer> offers, long nowMs) {
    // The search for starved jobs goes over all jobs and machines: only when others may be asked.
    boolean mayRequest = transfers.mayRequest();
    MachineTransferMessages.Overdue starved =
        mayRequest && transfers.mayRequestForOverdue()
            ? starvedJobs.tasksWithoutCapacity(nowMs).orElse(null)
            : null;
    if (mayRequest && (decision.shortCores() > 0 || starved != null)) {
      transfers.request(
          decision.shortCores(),
          state.catalog().largestCores(),
          !state.fleet().anyRefused(),
          starved,
          coming -> {
            if (mayAct.getAsBoolean()) {
              scaleOut(decision.rentals(), offers, coming);
            }
          });
    } else if (!transfers.requestPending()) {
      scaleOut(decision.rentals(), offers, 0);
    }
  }

  /**
   * @param coming machines that other shards transfer: so many fewer are requested of the cloud
   */
  private void scaleOut(
      List<SchedulingDecision.Rental> requests, List<Snapshot.InstanceOffer> offers, int coming) {
    long nowMs = loop.nowMs();
    if (requests.isEmpty()
        || state.fleet().pendingScaleOuts().size() > MAX_PENDING_SCALE_OUTS
        || nowMs - lastScaleOutMs < SCALE_OUT_GAP_MS) {
      return;
    }
    lastScaleOutMs = nowMs;
    int covered = coming;
    for (SchedulingDecision.Rental request : requests) {
      Snapshot.InstanceOffer offer = offers.get(request.offer());
      int machines =
          Math.min(state.zones().rentable(offer.zone()), Math.max(0, request.count() - covered));
      covered = Math.max(0, covered - request.count());
      if (machines > 0) {
        state
            .fleet()
            .scaleOut(state.catalog().type(offer.type()), offer.zone(), offer.spot(), machines);
        state.zones().rented(offer.zone(), machines);
      }
    }
  }

  /** Gives machines back to the cloud that the planner has no more use for. */
  void scaleIn(SchedulingDecision decision, List<Machine> machines) {
    Fleet fleet = state.fleet();
    for (int index : decision.giveBack()) {
      fleet.scaleIn(machines.get(index), "idle at the end of its block");
    }
  }
}
