package dev.windbend.shard;

import static dev.windbend.JsonAssertions.assertDeserializesTo;
import static dev.windbend.JsonAssertions.assertRoundTrip;

import org.junit.jupiter.api.Test;

/** The stored form of the record of a shard's leader. */
class ShardLeaderRecordTest {
  @Test
  void storedFormIsUnchanged() {
    assertRoundTrip(new ShardLeaderRecord("mast-0"), "{\"owner\":\"mast-0\"}");
    assertDeserializesTo("{}", ShardLeaderRecord.class, new ShardLeaderRecord(null));
    assertDeserializesTo("{\"owner\":null}", ShardLeaderRecord.class, new ShardLeaderRecord(null));
  }
}
