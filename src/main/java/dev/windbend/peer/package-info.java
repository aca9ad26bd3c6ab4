/**
 * What controllers say to one another directly, beside the state service: whether it serves them
 * ({@link dev.windbend.peer.StoreOutageDetector}), which cancellations are confirmed ({@link
 * dev.windbend.peer.CancellationBroadcaster}), and which machines a shard asks of others ({@link
 * dev.windbend.peer.MachineTransferClient}). Nothing is decided by these messages that the state
 * service's records don't settle, so each may be lost or repeated.
 */
package dev.windbend.peer;
