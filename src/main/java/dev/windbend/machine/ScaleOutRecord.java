package dev.windbend.machine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * Machines of one kind that came to a shard together, as stored until none of them is left with it.
 * Either a request, stored before the cloud is asked ({@code machines} null: it has not answered
 * yet), or machines that another shard transferred or that were orphaned.
 *
 * @param fence null: a request; 0: transferred, and this record's version is the token from which
 *     on only the receiver may command the machines; else that version, kept when the record is
 *     rewritten. Of several records that name a machine the one with the highest counts.
 */
public record ScaleOutRecord(
    @JsonProperty("type") String type,
    @JsonProperty("zone") String zone,
    @JsonProperty("spot") boolean spot,
    @JsonProperty("count") int count,
    @JsonProperty("machines") List<String> machines,
    @JsonProperty("fence") Long fence) {
  /** Below it: shard, then the name. */
  public static final String KEY_PREFIX = "w/h/";

  /** What the keys of a shard's records begin with. */
  public static String shardPrefix(int shard) {
    return KEY_PREFIX + shard + "/";
  }

  /** The shard of a key, -1 if it has none. */
  static int shardOf(String key) {
    int end = key.indexOf('/', KEY_PREFIX.length());
    try {
      return end < 0 ? -1 : Integer.parseInt(key.substring(KEY_PREFIX.length(), end));
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /** The cloud has not answered the request yet. */
  public boolean unanswered() {
    return machines == null;
  }

  long effectiveFence(long version) {
    return fence == null ? 0 : fence > 0 ? fence : version;
  }
}
