package dev.windbend.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A key of a list, or a change of a watch.
 *
 * @param value the JSON stored; null: this change deleted the key
 * @param version the store's revision at this change
 */
public record KeyValue(String key, JsonNode value, long version) {}
