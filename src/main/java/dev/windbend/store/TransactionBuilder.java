package dev.windbend.store;

import dev.windbend.runtime.Json;
import java.util.ArrayList;
import java.util.List;

/**
 * Builder of a compare-and-swap transaction. All its writes are applied atomically if every
 * compared key has the expected version; otherwise none is applied.
 */
public final class TransactionBuilder {
  private final List<StoreMessages.Condition> conditions = new ArrayList<>();
  private final List<StoreMessages.Write> writes = new ArrayList<>();

  /**
   * Adds the condition that the key has this version. If there already is a condition on the key,
   * the new one is ignored.
   *
   * @param version the expected version; 0 requires that the key does not exist
   */
  public TransactionBuilder ifVersion(String key, long version) {
    for (StoreMessages.Condition condition : conditions) {
      if (condition.key().equals(key)) {
        return this;
      }
    }
    conditions.add(new StoreMessages.Condition(key, version));
    return this;
  }

  /** Adds the condition that the key does not exist. */
  public TransactionBuilder ifAbsent(String key) {
    return ifVersion(key, 0);
  }

  /**
   * Adds a write of the key. {@code value} is serialized immediately; later changes are ignored.
   */
  public TransactionBuilder put(String key, Object value) {
    writes.add(new StoreMessages.Write(key, Json.tree(value), null, null, null));
    return this;
  }

  /** Adds a write of a key that the store deletes when the lease expires. */
  public TransactionBuilder putWithLease(String key, Object value, long lease) {
    writes.add(new StoreMessages.Write(key, Json.tree(value), lease, null, null));
    return this;
  }

  /** Adds a deletion of the key. */
  public TransactionBuilder delete(String key) {
    writes.add(new StoreMessages.Write(null, null, null, key, null));
    return this;
  }

  /** Returns how many keys are compared. */
  public int conditionCount() {
    return conditions.size();
  }

  /** Returns how many keys are written or deleted. */
  public int writeCount() {
    return writes.size();
  }

  /** Returns the message with a copy of the conditions and writes added so far. */
  StoreMessages.Transaction build() {
    return new StoreMessages.Transaction(List.copyOf(conditions), List.copyOf(writes));
  }
}
