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
  private static final int BYTES = 1_024;

  /** Keeps a number, in some bytes. */
  private static final class Counter implements PageEntry {
    final String id;
    final int bytes;
    int value;
    int written;
    int writing = -1;
    boolean over;

    Counter(String id, int bytes) {
      this.id = id;
      this.bytes = bytes;
    }

    @Override
    public String id() {
      return id;
    }

    @Override
    public boolean dirty() {
      return writing < 0 && value != written && !over;
    }

    @Override
    public boolean urgent(long nowMs) {
      return true;
    }

    @Override
    public boolean obsolete() {
      return over;
    }

    @Override
    public Object snapshot() {
      return value + "x".repeat(bytes);
    }

    @Override
    public void beginWrite(TransactionBuilder draft) {
      writing = value;
    }

    @Override
    public void onApplied() {
      written = writing;
      writing = -1;
    }

    @Override
    public void onNotApplied() {
      writing = -1;
    }

    @Override
    public boolean dependsOn(String key) {
      return false;
    }

    @Override
    public void onConflict(VersionedValue now) {}
  }

  private final Map<String, VersionedValue> store = new LinkedHashMap<>();
  private final List<Counter> all = new ArrayList<>();
  private final PagedStore pages = new PagedStore("w/p/0/", BYTES, 8);
  private long revision;

  @BeforeEach
  void counters() {
    for (int i = 0; i < 20; i++) {
      all.add(new Counter("c" + i, 100));
    }
  }

  private void change(int... which) {
    for (int i : which) {
      all.get(i).value++;
      pages.markChanged(all.get(i));
    }
  }

  private TransactionBuilder fill() {
    TransactionBuilder d = new TransactionBuilder();
    pages.addTo(d);
    return d;
  }

  /** Whether all conditions held. */
  private boolean apply(TransactionBuilder d) {
    for (StoreMessages.Condition c : d.build().conditions()) {
      long is = store.containsKey(c.key()) ? store.get(c.key()).version() : 0;
      if (is != c.version()) {
        return false;
      }
    }
    revision++;
    for (StoreMessages.Write c : d.build().writes()) {
      assertThat(Json.write(c.value()).length).isLessThanOrEqualTo(BYTES);
      store.put(c.put(), new VersionedValue(c.value(), revision));
    }
    return true;
  }

  private int write() {
    int changes = 0;
    while (pages.dirty()) {
      TransactionBuilder d = fill();
      changes += d.writeCount();
      if (apply(d)) {
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

  private void successorFindsAll() {
    Map<String, JsonNode> found = new PagedStore("w/p/0/", BYTES, 8).restore(store);
    for (Counter c : all) {
      if (c.written > 0 && !c.over) {
        assertThat(found.get(c.id).asText()).as(c.id).isEqualTo(c.snapshot());
      }
    }
  }

  @Test
  void manyEntriesTakeFewChanges() {
    for (int i = 0; i < 20; i++) {
      change(i);
    }
    assertThat(write()).isEqualTo(4);
    for (int round = 0; round < 50; round++) {
      change(round % 20, (7 * round + 3) % 20);
      assertThat(write()).isEqualTo(1);
      successorFindsAll();
    }
    assertThat(store.size()).as("pages become free again").isLessThan(8);
  }

  @Test
  void aWriteWithoutAnAnswerThatLandsLateDoesNotCount() {
    change(0, 1);
    write();
    change(0);
    TransactionBuilder lost = fill();
    pages.onNotApplied();
    change(0, 1);
    write();
    assertThat(apply(lost)).as("its page has another version by now").isFalse();
    successorFindsAll();
  }

  @Test
  void aWriteWithoutAnAnswerThatLandedIsOutdone() {
    change(0, 1, 2);
    write();
    change(0, 1);
    apply(fill());
    pages.onNotApplied();
    change(1, 2);
    write();
    successorFindsAll();
  }

  @Test
  void aSuccessorGoesOnWhereTheOwnerStopped() {
    change(0, 1, 2, 3);
    write();
    change(2);
    write();
    PagedStore next = new PagedStore("w/p/0/", BYTES, 8);
    next.restore(store);
    all.forEach(next::adopt);
    next.finishRestore();
    all.get(1).value++;
    next.markChanged(all.get(1));
    TransactionBuilder d = new TransactionBuilder();
    next.addTo(d);
    assertThat(apply(d)).isTrue();
    next.onApplied(revision);
    successorFindsAll();
  }

  @Test
  void whatIsOverLeavesItsPageFree() {
    for (int round = 0; round < 30; round++) {
      all.forEach(c -> c.over = true);
      all.clear();
      counters();
      for (int i = 0; i < 20; i++) {
        change(i);
      }
      write();
    }
    assertThat(store.size()).isLessThan(8);
  }
}
