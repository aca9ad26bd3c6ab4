package dev.windbend.store;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** Messages of the state service's protocol. */
final class StoreMessages {
  private StoreMessages() {}

  /** A key with its value and the revision of its last change. */
  record StoredKey(
      @JsonProperty(value = "path", required = true) String key,
      @JsonProperty(value = "v", required = true) JsonNode value,
      @JsonProperty(value = "stamp", required = true) long version) {}

  /**
   * Response to a read of a key that does not exist.
   *
   * @param revision the store's revision at which the key did not exist
   */
  record MissingKey(@JsonProperty(value = "ledger", required = true) long revision) {}

  /**
   * Response to a list request: one page of keys.
   *
   * @param hasMore whether further keys follow the last one of the page
   * @param revision the store's revision at which the page was read
   */
  record KeyList(
      @JsonProperty(value = "pairs", required = true) List<StoredKey> items,
      @JsonProperty("has_next") boolean hasMore,
      @JsonProperty(value = "ledger", required = true) long revision) {}

  /** Condition that the key has the version; version 0 requires that the key does not exist. */
  record Condition(@JsonProperty("path") String key, @JsonProperty("stamp") long version) {}

  /**
   * A write of a transaction, or a change in the response to a watch: either a put of a key and its
   * value, or a deletion of a key.
   *
   * @param putKey the key written; null for a deletion
   * @param lease the lease whose expiry deletes the key; null if there is none
   * @param deletedKey the key deleted; null for a put
   * @param version the revision of the change; null in a transaction
   */
  record Write(
      @JsonProperty("set") String putKey,
      @JsonProperty("v") JsonNode value,
      @JsonProperty("permit") Long lease,
      @JsonProperty("remove") String deletedKey,
      @JsonProperty("stamp") Long version) {}

  /** Transaction request: all writes are applied if all conditions hold, otherwise none. */
  record Transaction(
      @JsonProperty("when") List<Condition> conditions, @JsonProperty("then") List<Write> writes) {}

  /**
   * Response to a transaction.
   *
   * @param revision if the transaction was applied, the new version of all written keys
   * @param failedKeys the keys whose condition did not hold; null if the transaction was applied
   */
  record TransactionResult(
      @JsonProperty(value = "ledger", required = true) long revision,
      @JsonProperty("failed") List<String> failedKeys) {}

  /**
   * Request for a lease.
   *
   * @param termMs the time after the last renewal at which the lease expires, in milliseconds
   */
  record LeaseRequest(@JsonProperty("life_ms") long termMs) {}

  /** Response that grants a lease. */
  record LeaseGrant(@JsonProperty(value = "permit", required = true) long id) {}

  /**
   * Response that renews a lease.
   *
   * @param id the renewed lease; null if the response does not name it
   */
  record LeaseRenewed(@JsonProperty("permit") Long id) {}

  /**
   * Response to a watch.
   *
   * @param revision the revision up to which the response contains all changes
   * @param changes the changes in order of their revisions; null if there are none
   */
  record WatchEvents(
      @JsonProperty(value = "ledger", required = true) long revision,
      @JsonProperty("log") List<Write> changes) {
    /** Returns whether each change names a key and its version. */
    boolean isValid() {
      return changes == null || changes.stream().allMatch(WatchEvents::isValid);
    }

    private static boolean isValid(Write change) {
      boolean hasKey = change != null && (change.putKey() != null || change.deletedKey() != null);
      return hasKey && change.version() != null;
    }
  }
}
