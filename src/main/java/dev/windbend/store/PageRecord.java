package dev.windbend.store;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/**
 * A page of {@link PagedStore} as stored under one key.
 *
 * @param entries the entries' values by their ids
 */
public record PageRecord(@JsonProperty("e") Map<String, JsonNode> entries) {}
