package dev.windbend.store;

import com.fasterxml.jackson.databind.JsonNode;

/** A key's value and the revision of its last change. */
public record VersionedValue(JsonNode value, long version) {}
