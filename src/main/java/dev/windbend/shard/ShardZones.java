package dev.windbend.shard;

import dev.windbend.job.JobRegistry;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineHealth;
import dev.windbend.runtime.NameIndex;
import dev.windbend.store.GroupCommitter;
import dev.windbend.zone.ZoneAvailability;
import dev.windbend.zone.ZoneMonitor;
import dev.windbend.zone.ZoneStatus;
import java.util.List;
import java.util.Optional;

/** A shard's zone monitoring. Operators may disable it, in which case all zones are open. */
final class ShardZones {
  private final Optional<ZoneMonitor> monitor;
  private final ZoneAvailability availability;

  private ShardZones(Optional<ZoneMonitor> monitor) {
    this.monitor = monitor;
    this.availability =
        monitor
            .<ZoneAvailability>map(zoneMonitor -> zoneMonitor)
            .orElse(ZoneAvailability.UNRESTRICTED);
  }

  /** Creates the zone monitoring of a shard, or a disabled one if the policy disables it. */
  static ShardZones create(
      ShardContext context,
      int shard,
      Fleet fleet,
      MachineHealth health,
      JobRegistry jobs,
      ZoneMonitor.JobTimes times,
      GroupCommitter committer) {
    if (!context.policy().zones().enabled()) {
      return new ShardZones(Optional.empty());
    }
    DeploymentSpec.WorkerTiming workers = context.deployment().workers();
    ZoneMonitor.Config place =
        new ZoneMonitor.Config(
            shard,
            context.layout().shardCount(),
            context.zones().ownZone(),
            workers.heartbeatSeconds(),
            workers.leaseSeconds());
    ZoneMonitor.RecordStore records =
        new ZoneMonitor.RecordStore(context.coordination().replica()::get, committer::enqueue);
    return new ShardZones(
        Optional.of(
            new ZoneMonitor(
                place,
                context.policy().zones(),
                context.loop(),
                fleet,
                health,
                jobs,
                times,
                records,
                context.zones().metrics())));
  }

  /** The zones in which machines may be used and created. */
  ZoneAvailability availability() {
    return availability;
  }

  /** Restores the state that the previous leader stored; called on failover. */
  void recover(NameIndex zoneNames) {
    monitor.ifPresent(zoneMonitor -> zoneMonitor.recover(zoneNames));
  }

  /**
   * Detects zones that have become unreachable or reachable again.
   *
   * @param nowMs monotonic clock
   * @param leaseValidSinceMs time from which the leader's lease has certainly been valid without
   *     interruption (monotonic clock)
   */
  void check(long nowMs, long leaseValidSinceMs) {
    monitor.ifPresent(zoneMonitor -> zoneMonitor.check(nowMs, leaseValidSinceMs));
  }

  /** Called when the cloud has confirmed that the machine no longer exists. */
  void machineGone(Machine machine) {
    monitor.ifPresent(zoneMonitor -> zoneMonitor.machineTerminated(machine));
  }

  /** The status of each monitored zone; empty if monitoring is disabled. */
  List<ZoneStatus> status() {
    return monitor.map(ZoneMonitor::statuses).orElse(List.of());
  }
}
