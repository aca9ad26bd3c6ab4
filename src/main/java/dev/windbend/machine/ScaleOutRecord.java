package dev.windbend.machine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * Stored record of machines of one kind that were added to a shard together. It is deleted when
 * none of them belongs to the shard any more. The record is either a scale-out request, stored
 * before it is sent to the cloud, or lists machines that another shard transferred or that were
 * orphaned.
 *
 * @param count number of machines requested
 * @param machines names of the machines; null: the cloud has not answered the request yet
 * @param fence null: a request; 0: a transfer, whose fence is the version of this record; otherwise
 *     that version, preserved when the record is rewritten. Only the receiver may command the
 *     machines with tokens equal to the fence or higher. If several records name a machine, the one
 *     with the highest fence is authoritative.
 */
public record ScaleOutRecord(
    @JsonProperty("type") String type,
    @JsonProperty("zone") String zone,
    @JsonProperty("spot") boolean spot,
    @JsonProperty("count") int count,
    @JsonProperty("machines") List<String> machines,
    @JsonProperty("fence") Long fence) {
  /** Prefix of the keys of these records, followed by the shard, a slash and the name. */
  public static final String KEY_PREFIX = "w/h/";

  /** Prefix of the keys of a shard's records. */
  public static String shardPrefix(int shard) {
    return KEY_PREFIX + shard + "/";
  }

  /** The shard that a key belongs to; -1 if the key names none. */
  static int shardOf(String key) {
    int end = key.indexOf('/', KEY_PREFIX.length());
    try {
      return end < 0 ? -1 : Integer.parseInt(key.substring(KEY_PREFIX.length(), end));
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /** Whether this is a request that the cloud has not answered yet. */
  public boolean unanswered() {
    return machines == null;
  }

  /**
   * The fence of the record; 0 for a request.
   *
   * @param version version of the record in the state service
   */
  long effectiveFence(long version) {
    return fence == null ? 0 : fence > 0 ? fence : version;
  }
}
