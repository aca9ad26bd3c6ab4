package dev.windbend.shard;

import static dev.windbend.JsonPins.assertPinned;
import static dev.windbend.JsonPins.assertRead;

import org.junit.jupiter.api.Test;

/** The stored form of the record of a shard's leader. */
class ShardLeaderRecordTest {
  @Test
  void storedFormIsUnchanged() {
    assertPinned(new ShardLeaderRecord("mast-0"), "{\"owner\":\"mast-0\"}");
    assertRead("{}", ShardLeaderRecord.class, new ShardLeaderRecord(null));
    assertRead("{\"owner\":null}", ShardLeaderRecord.class, new ShardLeaderRecord(null));
  }
}
