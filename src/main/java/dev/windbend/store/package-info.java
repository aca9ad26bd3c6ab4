/**
 * The client side of the consensus-backed key-value store that holds all durable state ("state
 * service"): calls under its rate limits ({@link dev.windbend.store.StoreClient}), compare-and-swap
 * transactions ({@link dev.windbend.store.TransactionBuilder}), a local replica kept by watch
 * ({@link dev.windbend.store.Replica}), group commit of changed records ({@link
 * dev.windbend.store.GroupCommitter}) and many small entries in few keys ({@link
 * dev.windbend.store.PagedStore}). Depends on the runtime alone.
 */
package dev.windbend.store;
