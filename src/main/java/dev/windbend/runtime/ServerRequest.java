package dev.windbend.runtime;

import java.util.Map;

/**
 * A request that this process received, with its complete body.
 *
 * @param path the path without the query
 * @param query the first value of each query parameter, by parameter name
 * @param body the body; empty if the request has none
 */
public record ServerRequest(String method, String path, Map<String, String> query, byte[] body) {}
