package dev.windbend.store;

import dev.windbend.runtime.Json;
import java.util.ArrayList;
import java.util.List;

/** A transaction being put together. */
public final class TransactionBuilder {
  final List<StoreMessages.Condition> conditions = new ArrayList<>();
  final List<StoreMessages.Change> changes = new ArrayList<>();

  /** The key must still have this version; 0: must not exist. */
  public TransactionBuilder when(String key, long version) {
    for (StoreMessages.Condition c : conditions) {
      if (c.key().equals(key)) {
        return this;
      }
    }
    conditions.add(new StoreMessages.Condition(key, version));
    return this;
  }

  public TransactionBuilder put(String key, Object value) {
    changes.add(new StoreMessages.Change(key, Json.tree(value), null, null, null));
    return this;
  }

  /** The key goes when the lease ends. */
  public TransactionBuilder putHeld(String key, Object value, long lease) {
    changes.add(new StoreMessages.Change(key, Json.tree(value), lease, null, null));
    return this;
  }

  public TransactionBuilder delete(String key) {
    changes.add(new StoreMessages.Change(null, null, null, key, null));
    return this;
  }

  public int conditions() {
    return conditions.size();
  }

  public int size() {
    return changes.size();
  }
}
