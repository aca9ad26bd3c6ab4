/**
 * Direct communication between controllers, without the state service. Controllers exchange whether
 * the state service serves them ({@link dev.windbend.peer.StoreOutageDetector}), which
 * cancellations are confirmed ({@link dev.windbend.peer.CancellationBroadcaster}), and which
 * machines a shard requests from others ({@link dev.windbend.peer.MachineTransferClient}). The
 * records in the state service remain authoritative, so each message may be lost or repeated.
 */
package dev.windbend.peer;
