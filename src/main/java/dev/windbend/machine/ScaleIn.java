package dev.windbend.machine;

import dev.windbend.runtime.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Returns machines to the cloud, in batches one after the other, until it has confirmed. */
final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);
  private static final int BATCH_SIZE = 100;
  private static final long RETRY_MS = 1_500;

  private final EventLoop loop;
  private final CloudClient cloud;
  private final FleetRecords records;
  private final Fleet.Listener listener;
  private final Runnable pursue;
  private final Set<Machine> returning = new LinkedHashSet<>();
  private boolean callInProgress;
  private boolean closed;

  /** {@code pursue} goes on with all that the fleet has under way. */
  ScaleIn(
      EventLoop loop,
      CloudClient cloud,
      FleetRecords records,
      Fleet.Listener listener,
      Runnable pursue) {
    this.loop = loop;
    this.cloud = cloud;
    this.records = records;
    this.listener = listener;
    this.pursue = pursue;
  }

  void close() {
    closed = true;
  }

  int returningCount() {
    return returning.size();
  }

  /** Returns machines in this order, in as few calls as there can be. */
  void request(List<Machine> machines, String cause) {
    boolean any = false;
    for (Machine machine : machines) {
      if (!machine.returning() && !machine.gone()) {
        LOG.info("scale-in requested: machine={} cause={}", machine.name(), cause);
        machine.beginReturn();
        returning.add(machine);
        any = true;
      }
    }
    if (any) {
      pursue.run();
    }
  }

  /** Calls the cloud for the next batch, unless a call is in progress. */
  void pursue() {
    if (callInProgress || returning.isEmpty()) {
      return;
    }
    List<Machine> batch = returning.stream().limit(BATCH_SIZE).toList();
    callInProgress = true;
    cloud.returnInstances(
        batch.stream().map(Machine::name).toList(),
        () -> !closed && listener.mayAct(),
        result -> {
          if (!closed) {
            recordResult(batch, result);
          }
        });
  }

  private void recordResult(List<Machine> batch, CloudClient.ReturnResult result) {
    switch (result) {
      case CONFIRMED -> {
        callInProgress = false;
        batch.forEach(this::recordReturned);
        pursue.run();
      }
      case UNKNOWN ->
          loop.after(
              RETRY_MS,
              () -> {
                callInProgress = false;
                pursue.run();
              });
    }
  }

  private void recordReturned(Machine machine) {
    returning.remove(machine);
    machine.recordGone();
    records.remove(machine);
    listener.machineGone(machine);
  }
}
