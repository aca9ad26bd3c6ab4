/**
 * Machines of a shard: scale out and scale in through the cloud, transfers between shards, the
 * records in the state service that name the owner of each machine, and the machines' health.
 */
package dev.windbend.machine;
