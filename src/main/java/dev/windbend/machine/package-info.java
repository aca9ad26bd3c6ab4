/**
 * Machines of a shard: scale-out and scale-in through the cloud API, transfers between shards, the
 * stored records that name the shard of each machine, and the health of the machines.
 */
package dev.windbend.machine;
