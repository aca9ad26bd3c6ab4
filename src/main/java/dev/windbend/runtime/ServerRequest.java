package dev.windbend.runtime;

import java.util.Map;

/**
 * A request that this process received, read whole.
 *
 * @param query the first value of each query parameter
 */
public record ServerRequest(String method, String path, Map<String, String> query, byte[] body) {}
