package dev.windbend.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a key holds. Where one is handed over or returned, null means that the key does not exist.
 *
 * @param value the JSON stored
 * @param version the store's revision at the key's last change, above 0; what a compare-and-swap
 *     compares
 */
public record VersionedValue(JsonNode value, long version) {
  /** The version to compare with: 0 for a key that does not exist (null). */
  public static long versionOf(VersionedValue stored) {
    return stored == null ? 0 : stored.version();
  }
}
