package dev.windbend.shard;

import dev.windbend.job.JobRegistry;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.MachineTypeCatalog;
import dev.windbend.runtime.NameIndex;
import dev.windbend.zone.ZoneAvailability;

/**
 * What a leader schedules with: its shard's jobs and machines, and what is known of machine types,
 * images and zones.
 *
 * @param shard the shard's number
 * @param token the leader's fencing token
 * @param images image names as the dense numbers that machines report their cached images by
 * @param zones which zones may be used
 */
record ShardState(
    int shard,
    long token,
    JobRegistry jobs,
    Fleet fleet,
    MachineTypeCatalog catalog,
    NameIndex images,
    ZoneAvailability zones) {}
