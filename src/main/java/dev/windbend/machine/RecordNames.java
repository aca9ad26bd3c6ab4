package dev.windbend.machine;

/**
 * Names of the records that a leader of a shard makes. They hold its fencing token, which is never
 * used again, so neither is a name.
 */
final class RecordNames {
  private final int shard;
  private final long token;
  private long sequence;

  RecordNames(int shard, long token) {
    this.shard = shard;
    this.token = token;
  }

  /** Name of the next scale-out request. */
  String nextScaleOut() {
    return "p" + nextSuffix();
  }

  /** Key of the next transfer to a shard. */
  String nextTransferKey(int toShard) {
    return ScaleOutRecord.shardPrefix(toShard) + "g" + nextSuffix();
  }

  private String nextSuffix() {
    return shard + "-" + token + "-" + ++sequence;
  }
}
