package dev.windbend.shard;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The stored record of a shard's leader. The record is bound to the leader's lease, and the
 * revision at which it was written is the leader's fencing token.
 *
 * @param leader the name of the controller
 */
record ShardLeaderRecord(@JsonProperty("owner") String leader) {
  private static final String KEY_PREFIX = "w/c/";

  /** The key of the shard's record in the state service. */
  static String key(int shard) {
    return KEY_PREFIX + shard;
  }
}
