package dev.windbend.shard;

import dev.windbend.job.JobRegistry;
import dev.windbend.job.Placement;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineIndex;
import dev.windbend.machine.OrphanedMachine;
import dev.windbend.machine.OrphanedMachines;
import dev.windbend.machine.ScaleOutRecord;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.Json;
import dev.windbend.store.VersionedValue;
import dev.windbend.worker.HeartbeatHandler;
import dev.windbend.worker.WorkerMessages;
import java.util.List;

/**
 * Adds machines to a shard from records, of previous leaders or of transfers, and handles the
 * termination of machines.
 */
final class ShardMachines {
  private final ShardLeadership leadership;
  private final EventLoop loop;
  private final MachineIndex index;
  private final Fleet fleet;
  private final OrphanedMachines orphanedMachines;
  private final JobRegistry registry;
  private final ShardZones zones;
  private final HeartbeatHandler.SchedulingTrigger scheduling;

  ShardMachines(
      ShardLeadership leadership,
      EventLoop loop,
      MachineIndex index,
      Fleet fleet,
      OrphanedMachines orphanedMachines,
      JobRegistry registry,
      ShardZones zones,
      HeartbeatHandler.SchedulingTrigger scheduling) {
    this.leadership = leadership;
    this.loop = loop;
    this.index = index;
    this.fleet = fleet;
    this.orphanedMachines = orphanedMachines;
    this.registry = registry;
    this.zones = zones;
    this.scheduling = scheduling;
  }

  /**
   * Adds the machines of a scale-out or transfer record to the fleet. Ignores an invalid record.
   *
   * @param name the record's key without the shard's prefix
   * @param inherited true if the record was found at failover, false if it appeared later
   */
  void restore(String name, VersionedValue stored, boolean inherited) {
    ScaleOutRecord record = Json.read(stored.value(), ScaleOutRecord.class);
    if (record != null) {
      fleet.restore(name, record, stored.version(), index, inherited);
    }
  }

  /**
   * Handles a change of a machine record in the state service: another shard may have transferred
   * machines to this one.
   *
   * @param stored null if the record was deleted
   */
  void recordChanged(String key, VersionedValue stored) {
    String prefix = ScaleOutRecord.shardPrefix(leadership.shard());
    if (leadership.ready() && stored != null && key.startsWith(prefix)) {
      restore(key.substring(prefix.length()), stored, false);
      scheduling.requestCycle();
    }
  }

  boolean hasMachine(String machine) {
    return fleet.find(machine) != null;
  }

  /** Handles a heartbeat of a machine that is in no shard's records: it may be orphaned. */
  void handleOrphanHeartbeat(WorkerMessages.Heartbeat heartbeat) {
    if (leadership.ready() && leadership.mayAct()) {
      orphanedMachines.addCandidate(
          heartbeat.machine(),
          new OrphanedMachine(heartbeat.machineType(), heartbeat.zone(), heartbeat.spot()));
    }
  }

  /** Handles the cloud's confirmation that a machine is terminated: its tasks are queued again. */
  void onMachineTerminated(Machine machine) {
    long nowMs = loop.nowMs();
    zones.machineGone(machine);
    for (Placement placement : List.copyOf(machine.tasks().values())) {
      machine.remove(placement, nowMs);
      placement.job().confirmTerminated(placement);
      registry.markChanged(placement.job());
    }
    scheduling.requestCycle();
  }
}
