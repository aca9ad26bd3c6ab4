package dev.windbend.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Value and version of a key. As a parameter or return value, null means that the key does not
 * exist.
 *
 * @param value the stored JSON
 * @param version the store's revision of the key's last change, above 0; compared by a
 *     compare-and-swap
 */
public record VersionedValue(JsonNode value, long version) {
  /** Returns the version to compare with; 0 if the key does not exist ({@code stored} is null). */
  public static long versionOf(VersionedValue stored) {
    return stored == null ? 0 : stored.version();
  }
}
