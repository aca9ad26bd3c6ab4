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

/** A shard's monitoring of zones, which operators may switch off: then all zones are open. */
final class ShardZones {
  private final Optional<ZoneMonitor> monitor;
  private final ZoneAvailability availability;

  private ShardZones(Optional<ZoneMonitor> monitor) {
    this.monitor = monitor;
    this.availability =
        monitor.<ZoneAvailability>map(zoneMonitor -> zoneMonitor).orElse(ZoneAvailability.OPEN);
  }

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
    ZoneMonitor.Place place =
        new ZoneMonitor.Place(
            shard,
            context.layout().shardCount(),
            context.zones().ownZone(),
            workers.heartbeatSeconds(),
            workers.leaseSeconds());
    ZoneMonitor.Records records =
        new ZoneMonitor.Records(context.coordination().replica()::get, committer::enqueue);
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

  /** Which zones machines may be used and created in. */
  ZoneAvailability availability() {
    return availability;
  }

  void recover(NameIndex zoneNames) {
    monitor.ifPresent(zoneMonitor -> zoneMonitor.takeOver(zoneNames));
  }

  /**
   * Looks for zones that are lost or have returned.
   *
   * @param leaseValidSinceMs since when the leader's lease has surely been valid
   */
  void check(long nowMs, long leaseValidSinceMs) {
    monitor.ifPresent(zoneMonitor -> zoneMonitor.look(nowMs, leaseValidSinceMs));
  }

  void machineGone(Machine machine) {
    monitor.ifPresent(zoneMonitor -> zoneMonitor.gone(machine));
  }

  /** One entry for each zone that is monitored. */
  List<ZoneStatus> status() {
    return monitor.map(ZoneMonitor::status).orElse(List.of());
  }
}
