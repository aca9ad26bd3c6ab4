package dev.windbend.daemon;

import dev.windbend.runtime.HttpServerMonitor;
import dev.windbend.runtime.HttpStatus;
import dev.windbend.runtime.RequestHandler;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import dev.windbend.shard.ShardLeader;
import dev.windbend.store.StoreClient;
import dev.windbend.zone.ZoneMetrics;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Measurement;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Serves this controller's metrics as one JSON object with a field for each metric. */
final class MetricsEndpoint implements RequestHandler {
  private final MeterRegistry registry = new SimpleMeterRegistry();
  private final HttpServerMetrics httpServerMetrics = new HttpServerMetrics(registry);
  private final Map<Integer, Counter> responsesByStatus = new HashMap<>();
  private final ZoneMetrics zoneMetrics;
  private final boolean zoneMonitoringEnabled;

  MetricsEndpoint(
      ShardLeaders leaders,
      StoreClient store,
      ZoneMetrics zoneMetrics,
      boolean zoneMonitoringEnabled) {
    this.zoneMetrics = zoneMetrics;
    this.zoneMonitoringEnabled = zoneMonitoringEnabled;
    Gauge.builder("windbend.shards", leaders, ShardLeaders::shardCount).register(registry);
    Gauge.builder("windbend.jobs.live", leaders, all -> all.sum(ShardLeader::liveJobCount))
        .register(registry);
    Gauge.builder("windbend.machines", leaders, all -> all.sum(ShardLeader::machineCount))
        .register(registry);
    Gauge.builder(
            "windbend.machines.at.task.limit",
            leaders,
            all -> all.sum(ShardLeader::machinesAtTaskLimit))
        .register(registry);
    Gauge.builder(
            "windbend.waiting.oldest.s", leaders, all -> all.max(ShardLeader::oldestWaitSeconds))
        .register(registry);
    Gauge.builder("windbend.store.failing.ms", store, StoreClient::failingForMs).register(registry);
  }

  /** Returns the observer that counts the requests and responses of this controller's servers. */
  HttpServerMonitor httpServerMonitor() {
    return httpServerMetrics;
  }

  /** Returns a handler that delegates to another one and counts its responses by status. */
  RequestHandler countingResponses(RequestHandler handler) {
    return (request, done) ->
        handler.handle(
            request,
            response -> {
              countResponse(response.status());
              done.accept(response);
            });
  }

  private void countResponse(int status) {
    responsesByStatus.computeIfAbsent(status, this::responseCounter).increment();
  }

  private Counter responseCounter(int status) {
    return Counter.builder("windbend.answers")
        .tag("status", Integer.toString(status))
        .register(registry);
  }

  @Override
  public void handle(ServerRequest request, Consumer<ServerResponse> done) {
    done.accept(ServerResponse.of(HttpStatus.OK, values()));
  }

  private Map<String, Double> values() {
    Map<String, Double> values = new TreeMap<>();
    for (Meter meter : registry.getMeters()) {
      StringBuilder name = new StringBuilder(meter.getId().getName());
      meter.getId().getTags().forEach(tag -> name.append('.').append(tag.getValue()));
      for (Measurement measurement : meter.measure()) {
        String statistic = measurement.getStatistic().getTagValueRepresentation();
        values.put(name + "." + statistic, measurement.getValue());
      }
    }
    if (zoneMonitoringEnabled) {
      values.putAll(zoneMetrics.values());
    }
    return values;
  }
}
