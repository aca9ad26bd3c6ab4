package dev.windbend.shard;

import static dev.windbend.JsonPins.assertPinned;
import static dev.windbend.JsonPins.assertRead;

import org.junit.jupiter.api.Test;

/** What the state service keeps of who owns a shard. */
class ShardOwnershipRecordTest {
  @Test
  void isStoredAs() {
    assertPinned(new LeaderElection.Claim("mast-0"), "{\"owner\":\"mast-0\"}");
    assertRead("{}", LeaderElection.Claim.class, new LeaderElection.Claim(null));
    assertRead("{\"owner\":null}", LeaderElection.Claim.class, new LeaderElection.Claim(null));
  }
}
