package dev.windbend.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.runtime.Json;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests entries in pages against a fake store with versions. Transactions may be lost or applied
 * late.
 */
class PagedStoreTest {
  private static final int MAX_VALUE_BYTES = 1_024;

  /** An entry that stores a number, padded by a given number of bytes. */
  private static final class CounterEntry implements PageEntry {
    final String id;
    final int sizeBytes;
    int value;
    int storedValue;
    int valueInFlight = -1;
    boolean obsolete;

    CounterEntry(String id, int bytes) {
      this.id = id;
      this.sizeBytes = bytes;
    }

    @Override
    public String id() {
      return id;
    }

    @Override
    public boolean dirty() {
      return valueInFlight < 0 && value != storedValue && !obsolete;
    }

    @Override
    public boolean urgent(long nowMs) {
      return true;
    }

    @Override
    public boolean obsolete() {
      return obsolete;
    }

    @Override
    public Object snapshot() {
      return value + "x".repeat(sizeBytes);
    }

    @Override
    public void beginWrite(TransactionBuilder transaction) {
      valueInFlight = value;
    }

    @Override
    public void onApplied() {
      storedValue = valueInFlight;
      valueInFlight = -1;
    }

    @Override
    public void onNotApplied() {
      valueInFlight = -1;
    }

    @Override
    public boolean dependsOn(String key) {
      return false;
    }

    @Override
    public void onConflict(VersionedValue stored) {}
  }

  private final Map<String, VersionedValue> store = new LinkedHashMap<>();
  private final List<CounterEntry> counters = new ArrayList<>();
  private final PagedStore pages = new PagedStore("w/p/0/", MAX_VALUE_BYTES, 8);
  private long revision;

  @BeforeEach
  void createCounters() {
    for (int i = 0; i < 20; i++) {
      counters.add(new CounterEntry("c" + i, 100));
    }
  }

  private void change(int... which) {
    for (int i : which) {
      counters.get(i).value++;
      pages.markChanged(counters.get(i));
    }
  }

  private TransactionBuilder beginTransaction() {
    TransactionBuilder transaction = new TransactionBuilder();
    pages.addTo(transaction);
    return transaction;
  }

  /** Applies the transaction if all its conditions hold; returns whether it was applied. */
  private boolean applyToStore(TransactionBuilder transaction) {
    for (StoreMessages.Condition condition : transaction.build().conditions()) {
      long actualVersion =
          store.containsKey(condition.key()) ? store.get(condition.key()).version() : 0;
      if (actualVersion != condition.version()) {
        return false;
      }
    }
    revision++;
    for (StoreMessages.Write write : transaction.build().writes()) {
      assertThat(Json.write(write.value()).length).isLessThanOrEqualTo(MAX_VALUE_BYTES);
      store.put(write.putKey(), new VersionedValue(write.value(), revision));
    }
    return true;
  }

  private int writeAll() {
    int pageWrites = 0;
    while (pages.dirty()) {
      TransactionBuilder transaction = beginTransaction();
      pageWrites += transaction.writeCount();
      if (applyToStore(transaction)) {
        pages.onApplied(revision);
      } else {
        pages.onNotApplied();
        for (StoreMessages.Condition condition : transaction.build().conditions()) {
          pages.onConflict(condition.key(), store.get(condition.key()));
        }
      }
    }
    return pageWrites;
  }

  private void assertNextLeaderRestoresAll() {
    Map<String, JsonNode> found = new PagedStore("w/p/0/", MAX_VALUE_BYTES, 8).restore(store);
    for (CounterEntry counter : counters) {
      if (counter.storedValue > 0 && !counter.obsolete) {
        assertThat(found.get(counter.id).asText()).as(counter.id).isEqualTo(counter.snapshot());
      }
    }
  }

  @Test
  void packsManyEntriesIntoFewPageWrites() {
    for (int i = 0; i < 20; i++) {
      change(i);
    }
    assertThat(writeAll()).isEqualTo(4);
    for (int round = 0; round < 50; round++) {
      change(round % 20, (7 * round + 3) % 20);
      assertThat(writeAll()).isEqualTo(1);
      assertNextLeaderRestoresAll();
    }
    assertThat(store.size()).as("number of pages, which are reused when free").isLessThan(8);
  }

  @Test
  void rejectsDelayedWriteOfUnknownOutcome() {
    change(0, 1);
    writeAll();
    change(0);
    TransactionBuilder lost = beginTransaction();
    pages.onNotApplied();
    change(0, 1);
    writeAll();
    assertThat(applyToStore(lost)).as("whether the delayed transaction is applied").isFalse();
    assertNextLeaderRestoresAll();
  }

  @Test
  void supersedesAppliedWriteOfUnknownOutcome() {
    change(0, 1, 2);
    writeAll();
    change(0, 1);
    applyToStore(beginTransaction());
    pages.onNotApplied();
    change(1, 2);
    writeAll();
    assertNextLeaderRestoresAll();
  }

  @Test
  void nextLeaderContinuesFromStoredPages() {
    change(0, 1, 2, 3);
    writeAll();
    change(2);
    writeAll();
    PagedStore next = new PagedStore("w/p/0/", MAX_VALUE_BYTES, 8);
    next.restore(store);
    counters.forEach(next::adopt);
    next.finishRestore();
    counters.get(1).value++;
    next.markChanged(counters.get(1));
    TransactionBuilder transaction = new TransactionBuilder();
    next.addTo(transaction);
    assertThat(applyToStore(transaction)).isTrue();
    next.onApplied(revision);
    assertNextLeaderRestoresAll();
  }

  @Test
  void reusesPagesOfObsoleteEntries() {
    for (int round = 0; round < 30; round++) {
      counters.forEach(c -> c.obsolete = true);
      counters.clear();
      createCounters();
      for (int i = 0; i < 20; i++) {
        change(i);
      }
      writeAll();
    }
    assertThat(store.size()).isLessThan(8);
  }
}
