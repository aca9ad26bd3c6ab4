package dev.windbend.shard;

import dev.windbend.job.JobRegistry;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.MachineTypeCatalog;
import dev.windbend.runtime.NameIndex;
import dev.windbend.zone.ZoneAvailability;

/**
 * The state that a leader schedules with: the shard's jobs and machines, machine types, container
 * images and zones.
 *
 * @param shard the index of the shard
 * @param token the leader's fencing token
 * @param jobs the live jobs of the shard
 * @param fleet the machines of the shard
 * @param catalog the machine types and the zones
 * @param images maps image names to the dense indexes by which a machine's cached images are kept
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
