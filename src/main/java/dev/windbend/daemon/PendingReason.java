package dev.windbend.daemon;

import dev.windbend.job.JobSpec;
import dev.windbend.shard.ShardLayout;
import dev.windbend.store.Replica;
import dev.windbend.zone.ZoneRecord;
import dev.windbend.zone.ZoneState;
import java.util.Optional;

/** Explains to the user why a job is pending if the zone that the job requires is unreachable. */
final class PendingReason {
  private final Replica replica;
  private final ShardLayout layout;
  private final boolean zoneMonitoringEnabled;

  PendingReason(Replica replica, ShardLayout layout, boolean zoneMonitoringEnabled) {
    this.replica = replica;
    this.layout = layout;
    this.zoneMonitoringEnabled = zoneMonitoringEnabled;
  }

  /** Returns the reason to show to the user; empty unless the job's zone is unreachable. */
  Optional<String> reasonFor(JobSpec spec) {
    int teamIndex = layout.teamIndex(spec.team());
    if (!zoneMonitoringEnabled || spec.zone() == null || teamIndex < 0) {
      return Optional.empty();
    }
    ZoneRecord record =
        ZoneRecord.read(replica.get(ZoneRecord.key(layout.shardOf(teamIndex), spec.zone())));
    return record != null && record.state() == ZoneState.UNREACHABLE
        ? Optional.of("zone " + spec.zone() + " is unreachable")
        : Optional.empty();
  }
}
