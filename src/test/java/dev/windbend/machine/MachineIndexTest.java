package dev.windbend.machine;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.runtime.Json;
import dev.windbend.store.VersionedValue;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A machine belongs to the shard of the record with the highest fence, in any arrival order. */
class MachineIndexTest {
  private final MachineIndex machineIndex = new MachineIndex();

  private void applyRecord(String key, Long fence, long version, String... machines) {
    ScaleOutRecord record = new ScaleOutRecord("t", "z", true, 0, List.of(machines), fence);
    machineIndex.recordChanged(key, new VersionedValue(Json.tree(record), version));
  }

  @Test
  void assignsTransferredMachineToReceiverInAnyRecordOrder() {
    applyRecord("w/h/1/g", 0L, 20, "m1");
    applyRecord("w/h/0/h", null, 30, "m1", "m2");
    assertThat(machineIndex.shardOf("m1")).isEqualTo(1);
    assertThat(machineIndex.shardOf("m2")).isEqualTo(0);
    assertThat(machineIndex.isCurrentRecord("w/h/0/h", "m1")).isFalse();
  }

  @Test
  void assignsMachineTransferredBackToItsFirstShard() {
    applyRecord("w/h/0/h", null, 10, "m1");
    applyRecord("w/h/1/g", 0L, 20, "m1");
    applyRecord("w/h/0/g", 0L, 30, "m1");
    applyRecord("w/h/1/g", 20L, 40, "m1");
    assertThat(machineIndex.isCurrentRecord("w/h/0/g", "m1")).isTrue();
  }

  @Test
  void rewrittenRecordKeepsItsFence() {
    applyRecord("w/h/1/g", 0L, 20, "m1", "m2");
    applyRecord("w/h/2/g", 0L, 30, "m1");
    applyRecord("w/h/1/g", 20L, 50, "m1", "m2");
    assertThat(machineIndex.shardOf("m1")).isEqualTo(2);
  }

  @Test
  void machineRemovedFromItsRecordIsUnassignedAndFormer() {
    applyRecord("w/h/0/h", null, 10, "m1", "m2");
    applyRecord("w/h/0/h", null, 20, "m2");
    machineIndex.recordChanged("w/h/0/h", null);
    assertThat(machineIndex.contains("m1")).isFalse();
    assertThat(machineIndex.isFormer("m1")).isTrue();
    assertThat(machineIndex.isFormer("m2")).isTrue();
    assertThat(machineIndex.isFormer("m3")).isFalse();
  }

  @Test
  void unansweredScaleOutAssignsNoMachine() {
    machineIndex.recordChanged(
        "w/h/0/h",
        new VersionedValue(Json.tree(new ScaleOutRecord("t", "z", true, 5, null, null)), 10));
    assertThat(machineIndex.shardOf("m1")).isEqualTo(-1);
  }

  /** Delayed heartbeats must not add a machine again after a fleet of 4,000 has been replaced. */
  @Test
  void retainsAllFormerMachinesOfLargeFleet() {
    int fleetSize = 4_000;
    for (int i = 0; i < 2 * fleetSize; i++) {
      applyRecord("w/h/0/r" + i, null, 2 * i + 1, "m" + i);
      machineIndex.recordChanged("w/h/0/r" + i, null);
    }
    for (int i = 0; i < 2 * fleetSize; i++) {
      assertThat(machineIndex.isFormer("m" + i)).isTrue();
    }
  }
}
