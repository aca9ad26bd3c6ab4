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

/** How a shard's machines come and go: by their records, from other shards, and by their end. */
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
   * Takes in the machines of a record.
   *
   * @param name the record's key without the shard's prefix
   * @param inherited whether a former leader wrote it for itself
   */
  void restore(String name, VersionedValue stored, boolean inherited) {
    ScaleOutRecord record = Json.read(stored.value(), ScaleOutRecord.class);
    if (record != null) {
      fleet.restore(name, record, stored.version(), index, inherited);
    }
  }

  /** A record of machines has changed: another shard may have transferred some to this one. */
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

  /** A heartbeat came from a machine that no shard has on record. */
  void handleOrphanHeartbeat(WorkerMessages.Heartbeat heartbeat) {
    if (leadership.ready() && leadership.mayAct()) {
      orphanedMachines.addCandidate(
          heartbeat.machine(),
          new OrphanedMachine(heartbeat.machineType(), heartbeat.zone(), heartbeat.spot()));
    }
  }

  /** The cloud has confirmed the machine's end: its tasks go back to wait. */
  void onMachineTerminated(Machine machine) {
    long now = loop.nowMs();
    zones.machineGone(machine);
    for (Placement placement : List.copyOf(machine.tasks().values())) {
      machine.remove(placement, now);
      placement.job().confirmTerminated(placement);
      registry.markChanged(placement.job());
    }
    scheduling.requestCycle();
  }
}
