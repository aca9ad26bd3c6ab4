package dev.windbend.store;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** The state service's wire format. */
final class StoreMessages {
  private StoreMessages() {}

  record Pair(
      @JsonProperty("path") String key,
      @JsonProperty("v") JsonNode value,
      @JsonProperty("stamp") long version) {}

  record Page(
      @JsonProperty("pairs") List<Pair> items,
      @JsonProperty("has_next") boolean more,
      @JsonProperty("ledger") long revision) {}

  record Revision(
      @JsonProperty("ledger") long revision, @JsonProperty("failed") List<String> failed) {}

  record Condition(@JsonProperty("path") String key, @JsonProperty("stamp") long version) {}

  record Change(
      @JsonProperty("set") String put,
      @JsonProperty("v") JsonNode value,
      @JsonProperty("permit") Long lease,
      @JsonProperty("remove") String delete,
      @JsonProperty("stamp") Long version) {}

  record Transaction(
      @JsonProperty("when") List<Condition> conditions,
      @JsonProperty("then") List<Change> changes) {}

  record Life(@JsonProperty("life_ms") long lifeMs) {}

  record Lease(@JsonProperty("permit") long id) {}

  record Events(@JsonProperty("ledger") long revision, @JsonProperty("log") List<Change> changes) {}
}
