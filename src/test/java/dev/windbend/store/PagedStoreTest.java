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

/** Entries in pages against a store that knows versions; writes may be lost, or land late. */
class PagedStoreTest {
  private static final int MAX_VALUE_BYTES = 1_024;

  /** Keeps a number, in some bytes. */
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
    public void beginWrite(TransactionBuilder draft) {
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
    public void onConflict(VersionedValue now) {}
  }

  private final Map<String, VersionedValue> store = new LinkedHashMap<>();
  private final List<CounterEntry> createCounters = new ArrayList<>();
  private final PagedStore pages = new PagedStore("w/p/0/", MAX_VALUE_BYTES, 8);
  private long revision;

  @BeforeEach
  void createCounters() {
    for (int i = 0; i < 20; i++) {
      createCounters.add(new CounterEntry("c" + i, 100));
    }
  }

  private void change(int... which) {
    for (int i : which) {
      createCounters.get(i).value++;
      pages.markChanged(createCounters.get(i));
    }
  }

  private TransactionBuilder beginTransaction() {
    TransactionBuilder d = new TransactionBuilder();
    pages.addTo(d);
    return d;
  }

  /** Whether all conditions held. */
  private boolean applyToStore(TransactionBuilder d) {
    for (StoreMessages.Condition c : d.build().conditions()) {
      long is = store.containsKey(c.key()) ? store.get(c.key()).version() : 0;
      if (is != c.version()) {
        return false;
      }
    }
    revision++;
    for (StoreMessages.Write c : d.build().writes()) {
      assertThat(Json.write(c.value()).length).isLessThanOrEqualTo(MAX_VALUE_BYTES);
      store.put(c.putKey(), new VersionedValue(c.value(), revision));
    }
    return true;
  }

  private int writeAll() {
    int changes = 0;
    while (pages.dirty()) {
      TransactionBuilder d = beginTransaction();
      changes += d.writeCount();
      if (applyToStore(d)) {
        pages.onApplied(revision);
      } else {
        pages.onNotApplied();
        for (StoreMessages.Condition c : d.build().conditions()) {
          pages.onConflict(c.key(), store.get(c.key()));
        }
      }
    }
    return changes;
  }

  private void assertNextLeaderRestoresAll() {
    Map<String, JsonNode> found = new PagedStore("w/p/0/", MAX_VALUE_BYTES, 8).restore(store);
    for (CounterEntry c : createCounters) {
      if (c.storedValue > 0 && !c.obsolete) {
        assertThat(found.get(c.id).asText()).as(c.id).isEqualTo(c.snapshot());
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
    assertThat(store.size()).as("pages become free again").isLessThan(8);
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
    assertThat(applyToStore(lost)).as("its page has another version by now").isFalse();
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
    createCounters.forEach(next::adopt);
    next.finishRestore();
    createCounters.get(1).value++;
    next.markChanged(createCounters.get(1));
    TransactionBuilder d = new TransactionBuilder();
    next.addTo(d);
    assertThat(applyToStore(d)).isTrue();
    next.onApplied(revision);
    assertNextLeaderRestoresAll();
  }

  @Test
  void reusesPagesOfObsoleteEntries() {
    for (int round = 0; round < 30; round++) {
      createCounters.forEach(c -> c.obsolete = true);
      createCounters.clear();
      createCounters();
      for (int i = 0; i < 20; i++) {
        change(i);
      }
      writeAll();
    }
    assertThat(store.size()).isLessThan(8);
  }
}
