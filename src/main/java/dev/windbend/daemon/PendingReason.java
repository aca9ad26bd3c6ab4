package dev.windbend.daemon;

import dev.windbend.job.JobSpec;
import dev.windbend.shard.ShardLayout;
import dev.windbend.store.Replica;
import dev.windbend.zone.ZoneRecord;
import dev.windbend.zone.ZoneState;
import java.util.Optional;

/** Why a job is pending, where its user should know: the zone that it asks for is unreachable. */
final class PendingReason {
  private final Replica replica;
  private final ShardLayout layout;
  private final boolean zonesMonitored;

  PendingReason(Replica replica, ShardLayout layout, boolean zonesMonitored) {
    this.replica = replica;
    this.layout = layout;
    this.zonesMonitored = zonesMonitored;
  }

  /** The reason, for the user; empty if the job just waits for its turn. */
  Optional<String> of(JobSpec spec) {
    int team = layout.teamIndex(spec.team());
    if (!zonesMonitored || spec.zone() == null || team < 0) {
      return Optional.empty();
    }
    ZoneRecord record =
        ZoneRecord.read(replica.get(ZoneRecord.key(layout.shardOf(team), spec.zone())));
    return record != null && record.state() == ZoneState.UNREACHABLE
        ? Optional.of("zone " + spec.zone() + " is unreachable")
        : Optional.empty();
  }
}
