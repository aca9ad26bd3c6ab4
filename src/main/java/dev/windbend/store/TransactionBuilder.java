package dev.windbend.store;

import dev.windbend.runtime.Json;
import java.util.ArrayList;
import java.util.List;

/**
 * A compare-and-swap transaction being put together: its writes are applied all together, if every
 * key compared still has the version given, or else not at all.
 */
public final class TransactionBuilder {
  private final List<StoreMessages.Condition> conditions = new ArrayList<>();
  private final List<StoreMessages.Write> writes = new ArrayList<>();

  /**
   * The key must have this version. Of several conditions on one key the first counts.
   *
   * @param version as read; 0: the key must not exist
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

  /** The key must not exist. */
  public TransactionBuilder ifAbsent(String key) {
    return ifVersion(key, 0);
  }

  /** Writes the key; {@code value} is turned into JSON at once, so later changes don't count. */
  public TransactionBuilder put(String key, Object value) {
    writes.add(new StoreMessages.Write(key, Json.tree(value), null, null, null));
    return this;
  }

  /** Writes a key that the store deletes when the lease expires. */
  public TransactionBuilder putWithLease(String key, Object value, long lease) {
    writes.add(new StoreMessages.Write(key, Json.tree(value), lease, null, null));
    return this;
  }

  /** Deletes the key. */
  public TransactionBuilder delete(String key) {
    writes.add(new StoreMessages.Write(null, null, null, key, null));
    return this;
  }

  /** How many keys are compared. */
  public int conditionCount() {
    return conditions.size();
  }

  /** How many keys are written or deleted. */
  public int writeCount() {
    return writes.size();
  }

  /** The message as it stands; what is added later is not in it. */
  StoreMessages.Transaction build() {
    return new StoreMessages.Transaction(List.copyOf(conditions), List.copyOf(writes));
  }
}
