package dev.windbend.machine;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.runtime.Json;
import dev.windbend.store.VersionedValue;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Of all records that name a machine, the one with the highest fence counts, in any order. */
class MachineIndexTest {
  private final MachineIndex directory = new MachineIndex();

  private void record(String key, Long fence, long version, String... machines) {
    ScaleOutRecord r = new ScaleOutRecord("t", "z", true, 0, List.of(machines), fence);
    directory.changed(key, new VersionedValue(Json.tree(r), version));
  }

  @Test
  void aGivenMachineIsTheReceiversWhateverOrderTheRecordsComeIn() {
    record("w/h/1/g", 0L, 20, "m1");
    record("w/h/0/h", null, 30, "m1", "m2");
    assertThat(directory.shardOf("m1")).isEqualTo(1);
    assertThat(directory.shardOf("m2")).isEqualTo(0);
    assertThat(directory.names("w/h/0/h", "m1")).isFalse();
  }

  @Test
  void aMachineThatCameBackIsItsFormerPartsAgain() {
    record("w/h/0/h", null, 10, "m1");
    record("w/h/1/g", 0L, 20, "m1");
    record("w/h/0/g", 0L, 30, "m1");
    record("w/h/1/g", 20L, 40, "m1");
    assertThat(directory.names("w/h/0/g", "m1")).isTrue();
  }

  @Test
  void rewritingARecordKeepsItsFence() {
    record("w/h/1/g", 0L, 20, "m1", "m2");
    record("w/h/2/g", 0L, 30, "m1");
    record("w/h/1/g", 20L, 50, "m1", "m2");
    assertThat(directory.shardOf("m1")).isEqualTo(2);
  }

  @Test
  void whatLeftItsRecordIsNobodysAndKnownAsFormer() {
    record("w/h/0/h", null, 10, "m1", "m2");
    record("w/h/0/h", null, 20, "m2");
    directory.changed("w/h/0/h", null);
    assertThat(directory.knows("m1")).isFalse();
    assertThat(directory.knew("m1")).isTrue();
    assertThat(directory.knew("m2")).isTrue();
    assertThat(directory.knew("m3")).isFalse();
  }

  @Test
  void aRentalWithoutAnAnswerNamesNothing() {
    directory.changed(
        "w/h/0/h",
        new VersionedValue(Json.tree(new ScaleOutRecord("t", "z", true, 5, null, null)), 10));
    assertThat(directory.shardOf("m1")).isEqualTo(-1);
  }

  /** A fleet of 4,000 is replaced by another: late copies of reports bring none of it back. */
  @Test
  void aWholeLargeFleetIsKnownAsFormer() {
    int fleet = 4_000;
    for (int i = 0; i < 2 * fleet; i++) {
      record("w/h/0/r" + i, null, 2 * i + 1, "m" + i);
      directory.changed("w/h/0/r" + i, null);
    }
    for (int i = 0; i < 2 * fleet; i++) {
      assertThat(directory.knew("m" + i)).isTrue();
    }
  }
}
