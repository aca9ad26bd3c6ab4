package dev.windbend.daemon;

import dev.windbend.job.JobHandler;
import dev.windbend.runtime.HttpServerMonitor;
import dev.windbend.runtime.RequestEnd;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Counts requests by how their body ended, sent responses by route and status, and responses that
 * were not sent.
 */
final class HttpServerMetrics implements HttpServerMonitor {
  private static final String JOB_ROUTE = "job";

  /** Routes by path; every other path is counted as {@code other}. */
  private static final Map<String, String> ROUTES =
      Map.of(
          "/hello", "heartbeat",
          "/up", "health",
          "/v1/jobs", "submit",
          "/metrics", "metrics",
          "/zones", "zones");

  private final MeterRegistry registry;
  private final Map<RequestEnd, Counter> requests = new EnumMap<>(RequestEnd.class);
  private final Map<DroppedResponse, Counter> dropped = new EnumMap<>(DroppedResponse.class);
  private final Map<Response, Counter> responses = new HashMap<>();

  private record Response(String route, int status) {}

  HttpServerMetrics(MeterRegistry registry) {
    this.registry = registry;
    for (RequestEnd end : RequestEnd.values()) {
      requests.put(end, counter("windbend.http.requests", end));
    }
    for (DroppedResponse cause : DroppedResponse.values()) {
      dropped.put(cause, counter("windbend.http.responses.dropped", cause));
    }
  }

  private Counter counter(String name, Enum<?> kind) {
    return Counter.builder(name)
        .tag("kind", kind.name().toLowerCase(Locale.ROOT))
        .register(registry);
  }

  @Override
  public void requestEnded(RequestEnd end) {
    requests.get(end).increment();
  }

  @Override
  public void responseSent(String path, int status) {
    responses.computeIfAbsent(new Response(route(path), status), this::counter).increment();
  }

  private Counter counter(Response response) {
    return Counter.builder("windbend.http.responses")
        .tag("route", response.route())
        .tag("status", Integer.toString(response.status()))
        .register(registry);
  }

  @Override
  public void responseDropped(DroppedResponse cause) {
    dropped.get(cause).increment();
  }

  private static String route(String path) {
    if (path.endsWith("/cancel") && JobHandler.handlesPath(path)) {
      return "cancel";
    }
    if (path.startsWith("/peer/")) {
      return "peer";
    }
    return ROUTES.getOrDefault(path, JobHandler.handlesPath(path) ? JOB_ROUTE : "other");
  }
}
