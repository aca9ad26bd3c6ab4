package dev.windbend.shard;

import static dev.windbend.JsonPins.assertPinned;
import static dev.windbend.JsonPins.assertRead;

import org.junit.jupiter.api.Test;

/** What the state service keeps of who owns a shard. */
class ShardOwnershipRecordTest {
  @Test
  void isStoredAs() {
    assertPinned(new ShardOwnership.Claim("mast-0"), "{\"owner\":\"mast-0\"}");
    assertRead("{}", ShardOwnership.Claim.class, new ShardOwnership.Claim(null));
    assertRead("{\"owner\":null}", ShardOwnership.Claim.class, new ShardOwnership.Claim(null));
  }
}
