package dev.windbend.store;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/**
 * Stored form of one page of a {@link PagedStore}.
 *
 * @param entries the values of the entries by entry id
 */
public record PageRecord(@JsonProperty("e") Map<String, JsonNode> entries) {}
