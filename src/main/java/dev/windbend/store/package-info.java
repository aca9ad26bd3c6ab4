/**
 * The client side of the consensus-backed key-value store that holds all durable state ("state
 * service"): calls under its rate limits ({@link dev.windbend.store.StoreClient}), compare-and-swap
 * transactions ({@link dev.windbend.store.TransactionBuilder}), a local replica updated by a watch
 * ({@link dev.windbend.store.Replica}), group commit of changed records ({@link
 * dev.windbend.store.GroupCommitter}) and storage of many small entries under few keys ({@link
 * dev.windbend.store.PagedStore}). Depends on the runtime package only.
 */
package dev.windbend.store;
