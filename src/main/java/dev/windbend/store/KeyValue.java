package dev.windbend.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A key returned by a list request, or a change returned by a watch.
 *
 * @param value the stored JSON; null if the change deleted the key
 * @param version the store's revision of the key's last change
 */
public record KeyValue(String key, JsonNode value, long version) {}
