package dev.windbend.machine;

/**
 * Generates names of the records that a leader of a shard creates. The names are unique because
 * they contain the leader's fencing token, which is never reused.
 */
final class RecordNames {
  private final int shard;
  private final long token;
  private long sequence;

  RecordNames(int shard, long token) {
    this.shard = shard;
    this.token = token;
  }

  /** Returns a new name for a scale-out request. */
  String nextScaleOut() {
    return "p" + nextSuffix();
  }

  /** Returns a new key for a transfer to a shard. */
  String nextTransferKey(int toShard) {
    return ScaleOutRecord.shardPrefix(toShard) + "g" + nextSuffix();
  }

  private String nextSuffix() {
    return shard + "-" + token + "-" + ++sequence;
  }
}
