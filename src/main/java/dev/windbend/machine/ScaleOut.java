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

/** Requests machines of the cloud, each time until it has surely answered. */
final class ScaleOut {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleOut.class);
  private static final int MAX_BATCH_SIZE = 50;

  /** How long a kind is not requested after the cloud had not enough of it. */
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

  /** Kinds that were refused, and not granted in full since. */
  private final Set<InstanceKind> scarceKinds = new HashSet<>();

  private boolean closed;

  /** {@code pursue} goes on with all that the fleet has under way. */
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

  boolean recentlyRefused(InstanceKind kind) {
    return refusedUntilMs.getLong(kind) > loop.nowMs();
  }

  boolean anyRecentlyRefused() {
    long nowMs = loop.nowMs();
    return refusedUntilMs.values().longStream().anyMatch(untilMs -> untilMs > nowMs);
  }

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
   * Each batch takes two changes in the state service, also one that is refused. So while the cloud
   * had none of a kind last, one batch requests it, now and then: a shard that requested all it
   * lacked again and again would use up the changes that submissions and starts need.
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

  /** Calls the cloud for requests that are on record and have no answer. */
  void sendPending() {
    for (ScaleOutRequest request : List.copyOf(records.requests())) {
      if (request.answered || !request.recorded() || request.callInProgress) {
        continue;
      }
      if (!request.sent && recentlyRefused(InstanceKind.of(request))) {
        // A moment ago there were none of its kind; never sent, so nothing can come of it.
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

  /** It may have been carried out: the same name again, until there is an answer. */
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
