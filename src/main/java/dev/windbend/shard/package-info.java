/**
 * What a controller does as the leader of a shard: the election and its lease, the failover that
 * rebuilds jobs and machines from their records, scheduling cycles, reconciliation, and transfers
 * of machines between shards.
 */
package dev.windbend.shard;
