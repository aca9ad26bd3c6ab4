package dev.windbend.machine;

import dev.windbend.runtime.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Returns machines to the cloud, one batch at a time, and retries until it has confirmed. */
final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);
  private static final int MAX_BATCH_SIZE = 100;
  private static final long RETRY_DELAY_MS = 1_500;

  private final EventLoop loop;
  private final CloudClient cloud;
  private final FleetRecords records;
  private final Fleet.Listener listener;
  private final Runnable processPending;
  private final Set<Machine> terminating = new LinkedHashSet<>();
  private boolean callInProgress;
  private boolean closed;

  /**
   * Creates an instance without machines to return.
   *
   * @param processPending sends the pending calls of the whole fleet
   */
  ScaleIn(
      EventLoop loop,
      CloudClient cloud,
      FleetRecords records,
      Fleet.Listener listener,
      Runnable processPending) {
    this.loop = loop;
    this.cloud = cloud;
    this.records = records;
    this.listener = listener;
    this.processPending = processPending;
  }

  void close() {
    closed = true;
  }

  int terminatingCount() {
    return terminating.size();
  }

  /** Returns machines in this order, in as few calls as possible. */
  void request(List<Machine> machines, String cause) {
    boolean anyAdded = false;
    for (Machine machine : machines) {
      if (!machine.terminating() && !machine.terminated()) {
        LOG.info("scale-in requested: machine={} cause={}", machine.name(), cause);
        machine.beginTermination();
        terminating.add(machine);
        anyAdded = true;
      }
    }
    if (anyAdded) {
      processPending.run();
    }
  }

  /** Sends the next batch to the cloud, unless a call is in progress. */
  void sendNextBatch() {
    if (callInProgress || terminating.isEmpty()) {
      return;
    }
    List<Machine> batch = terminating.stream().limit(MAX_BATCH_SIZE).toList();
    callInProgress = true;
    cloud.terminateInstances(
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
        batch.forEach(this::recordTermination);
        processPending.run();
      }
      case UNKNOWN ->
          loop.after(
              RETRY_DELAY_MS,
              () -> {
                callInProgress = false;
                processPending.run();
              });
    }
  }

  private void recordTermination(Machine machine) {
    terminating.remove(machine);
    machine.recordTermination();
    records.remove(machine);
    listener.machineTerminated(machine);
  }
}
