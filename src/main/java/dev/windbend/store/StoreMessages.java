package dev.windbend.store;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** The state service's wire format. */
final class StoreMessages {
  private StoreMessages() {}

  /** A key with its value and the revision of its last change. */
  record StoredKey(
      @JsonProperty("path") String key,
      @JsonProperty("v") JsonNode value,
      @JsonProperty("stamp") long version) {}

  /**
   * One page of a list.
   *
   * @param hasMore whether there are keys after the last one
   * @param revision the revision at which the page was read
   */
  record KeyList(
      @JsonProperty("pairs") List<StoredKey> items,
      @JsonProperty("has_next") boolean hasMore,
      @JsonProperty("ledger") long revision) {}

  /** The key must have the version; 0: it must not exist. */
  record Condition(@JsonProperty("path") String key, @JsonProperty("stamp") long version) {}

  /**
   * A write of a transaction, or a change of a watch: {@code put} with its value, or {@code
   * delete}.
   *
   * @param putKey the key written; null: this is a deletion
   * @param lease the key is deleted when this lease expires; null: it stays
   * @param deletedKey the key deleted; null: this is a put
   * @param version the revision of the change; null in a transaction
   */
  record Write(
      @JsonProperty("set") String putKey,
      @JsonProperty("v") JsonNode value,
      @JsonProperty("permit") Long lease,
      @JsonProperty("remove") String deletedKey,
      @JsonProperty("stamp") Long version) {}

  /** Writes all, on condition that all conditions hold. */
  record Transaction(
      @JsonProperty("when") List<Condition> conditions, @JsonProperty("then") List<Write> writes) {}

  /**
   * Answers a transaction.
   *
   * @param revision if applied, the version of all keys written
   * @param failedKeys the keys whose condition did not hold; null: applied
   */
  record TransactionResult(
      @JsonProperty("ledger") long revision, @JsonProperty("failed") List<String> failedKeys) {}

  /** Asks for a lease that expires so long after its last renewal. */
  record LeaseRequest(@JsonProperty("life_ms") long termMs) {}

  /** Grants a lease. */
  record LeaseGrant(@JsonProperty("permit") long id) {}

  /**
   * Answers a watch.
   *
   * @param revision all changes up to it are in the answer
   * @param changes in their order; null: none
   */
  record WatchEvents(
      @JsonProperty("ledger") long revision, @JsonProperty("log") List<Write> changes) {}
}
