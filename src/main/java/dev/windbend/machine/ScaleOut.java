package dev.windbend.machine;

import dev.windbend.runtime.EventLoop;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Requests machines from the cloud, and retries each request until a definite response. */
final class ScaleOut {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleOut.class);
  private static final int MAX_BATCH_SIZE = 50;

  /** How long a kind is not requested after the cloud had too few instances of it. */
  private static final long REFUSED_BACKOFF_MS = 8_000;

  private static final long RETRY_DELAY_MS = 1_500;

  private final EventLoop loop;
  private final CloudClient cloud;
  private final MachineTypeCatalog catalog;
  private final FleetRecords records;
  private final RecordNames names;
  private final Fleet.Listener listener;
  private final Runnable processPending;
  private final Object2LongOpenHashMap<InstanceKind> refusedUntilMs =
      new Object2LongOpenHashMap<>();

  /** Kinds that were refused or granted in part, and have not been granted in full since. */
  private final Set<InstanceKind> scarceKinds = new HashSet<>();

  private boolean closed;

  /**
   * Creates an instance without requests.
   *
   * @param processPending sends the pending calls of the whole fleet
   */
  ScaleOut(
      EventLoop loop,
      CloudClient cloud,
      MachineTypeCatalog catalog,
      FleetRecords records,
      RecordNames names,
      Fleet.Listener listener,
      Runnable processPending) {
    this.loop = loop;
    this.cloud = cloud;
    this.catalog = catalog;
    this.records = records;
    this.names = names;
    this.listener = listener;
    this.processPending = processPending;
  }

  void close() {
    closed = true;
  }

  /** Whether requests of this kind are backed off. */
  boolean recentlyRefused(InstanceKind kind) {
    return refusedUntilMs.getLong(kind) > loop.nowMs();
  }

  /** Whether requests of any kind are backed off. */
  boolean anyRecentlyRefused() {
    long nowMs = loop.nowMs();
    return refusedUntilMs.values().longStream().anyMatch(untilMs -> untilMs > nowMs);
  }

  /** The requests that the cloud has not answered yet. */
  Collection<Fleet.PendingScaleOut> pending() {
    List<Fleet.PendingScaleOut> pending = new ArrayList<>();
    for (ScaleOutRequest request : records.requests()) {
      if (!request.answered) {
        pending.add(
            new Fleet.PendingScaleOut(
                request.type,
                request.zone,
                request.record.spot(),
                request.record.count(),
                request.requestedMs));
      }
    }
    return pending;
  }

  /**
   * Requests machines in batches. Each batch needs two writes to the state service, even if it is
   * refused. A kind that the cloud last lacked is therefore requested by a single batch per
   * back-off period: a shard that repeatedly requested its whole shortage would use up the write
   * rate that job submissions and task starts need.
   */
  void request(MachineType type, int zone, boolean spot, int count) {
    boolean probe = scarceKinds.contains(new InstanceKind(type.index(), zone, spot));
    int total = probe ? Math.min(count, MAX_BATCH_SIZE) : count;
    for (int remaining = total; remaining > 0; remaining -= MAX_BATCH_SIZE) {
      requestBatch(type, zone, spot, Math.min(remaining, MAX_BATCH_SIZE));
    }
  }

  private void requestBatch(MachineType type, int zone, boolean spot, int count) {
    String name = names.nextScaleOut();
    String zoneName = catalog.zones().name(zone);
    ScaleOutRequest request =
        records.add(name, new ScaleOutRecord(type.name(), zoneName, spot, count, null, null), 0);
    listener.recordChanged(request);
    LOG.info(
        "scale-out requested: name={} count={} type={} zone={} spot={}",
        name,
        count,
        type.name(),
        zoneName,
        spot);
  }

  /** Sends requests that are on record and unanswered to the cloud. */
  void sendPending() {
    for (ScaleOutRequest request : List.copyOf(records.requests())) {
      if (request.answered || !request.recorded() || request.callInProgress) {
        continue;
      }
      if (!request.sent && recentlyRefused(InstanceKind.of(request))) {
        // The cloud recently lacked this kind, and a request that was never sent is safe to drop.
        records.finish(request);
      } else {
        send(request);
      }
    }
  }

  private void send(ScaleOutRequest request) {
    request.callInProgress = true;
    request.sent = true;
    ScaleOutRecord record = request.record;
    cloud.createInstances(
        new CloudMessages.CreateInstances(
            request.name, record.type(), record.zone(), record.spot(), record.count()),
        (result, machineNames) -> {
          if (!closed) {
            recordResult(request, result, machineNames);
          }
        });
  }

  private void recordResult(
      ScaleOutRequest request, CloudClient.CreateResult result, List<String> machineNames) {
    switch (result) {
      case GRANTED -> recordGranted(request, machineNames);
      case REFUSED, MALFORMED -> {
        LOG.info("scale-out refused: name={} cause={}", request.name, result);
        backOff(request);
        records.finish(request);
        listener.fleetChanged();
      }
      case UNKNOWN -> retryLater(request);
    }
  }

  private void recordGranted(ScaleOutRequest request, List<String> machineNames) {
    request.callInProgress = false;
    records.addGranted(request, machineNames);
    request.recordAnswer(loop.nowMs());
    listener.recordChanged(request);
    if (machineNames.size() < request.record.count()) {
      backOff(request);
    } else {
      scarceKinds.remove(InstanceKind.of(request));
    }
    records.finishEmptied();
    listener.fleetChanged();
  }

  /** Repeats a request under its name, as it may have been executed without a response. */
  private void retryLater(ScaleOutRequest request) {
    loop.after(
        RETRY_DELAY_MS,
        () -> {
          request.callInProgress = false;
          processPending.run();
        });
  }

  private void backOff(ScaleOutRequest request) {
    InstanceKind kind = InstanceKind.of(request);
    scarceKinds.add(kind);
    refusedUntilMs.put(kind, loop.nowMs() + REFUSED_BACKOFF_MS);
  }
}
