/**
 * The leadership of shards: leader election and the controller's lease, failover, which rebuilds
 * jobs and machines from their records, scheduling cycles, reconciliation, and transfers of
 * machines between shards.
 */
package dev.windbend.shard;
