package dev.windbend.zone;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.windbend.runtime.Json;
import dev.windbend.store.VersionedValue;
import java.util.List;

/**
 * A zone as the owner of a shard last saw it, kept in the state service from its first loss until
 * its backoff has decayed, so that a successor goes on where its predecessor ended.
 *
 * @param stateSinceWallMs when the state was entered, by the time of day
 * @param losses losses that still count for the backoff
 * @param displacedUids jobs of which tasks lost their machine there and have not run since
 */
public record ZoneRecord(
    @JsonProperty("state") ZoneState state,
    @JsonProperty("since_ms") long stateSinceWallMs,
    @JsonProperty("losses") int losses,
    @JsonProperty("displaced") List<String> displacedUids) {
  public ZoneRecord {
    displacedUids = displacedUids == null ? List.of() : displacedUids;
  }

  /** Below it: shard, then the zone. */
  private static final String KEY_PREFIX = "w/z/";

  public static String key(int shard, String zone) {
    return KEY_PREFIX + shard + "/" + zone;
  }

  /** Null: no such record, or one of a later format. */
  public static ZoneRecord read(VersionedValue stored) {
    ZoneRecord record = stored == null ? null : Json.read(stored.value(), ZoneRecord.class);
    return record == null || record.state == null ? null : record;
  }
}
