package dev.windbend.zone;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.windbend.runtime.Json;
import dev.windbend.store.VersionedValue;
import java.util.List;

/**
 * A zone's state as observed by the leader of a shard. The record is kept in the state service from
 * the zone's first loss until the backoff has decayed, so that the next leader continues in the
 * same state.
 *
 * @param stateSinceWallMs when the zone entered the state (wall clock, ms)
 * @param losses number of losses that have not decayed; determines the backoff
 * @param displacedUids ids of jobs with tasks that lost their machine in the zone and have not run
 *     since
 */
public record ZoneRecord(
    @JsonProperty("state") ZoneState state,
    @JsonProperty("since_ms") long stateSinceWallMs,
    @JsonProperty("losses") int losses,
    @JsonProperty("displaced") List<String> displacedUids) {
  /** Creates a record; a null list of displaced jobs becomes an empty list. */
  public ZoneRecord {
    displacedUids = displacedUids == null ? List.of() : displacedUids;
  }

  /** Prefix of the keys, followed by shard and zone. */
  private static final String KEY_PREFIX = "w/z/";

  /** Returns the key of the shard's record of the zone. */
  public static String key(int shard, String zone) {
    return KEY_PREFIX + shard + "/" + zone;
  }

  /** Reads a record; returns null if there is none or its state is missing or unknown. */
  public static ZoneRecord read(VersionedValue stored) {
    ZoneRecord record = stored == null ? null : Json.read(stored.value(), ZoneRecord.class);
    return record == null || record.state == null ? null : record;
  }
}
