package dev.windbend.daemon;

import dev.windbend.machine.MachineTypeCatalog;
import dev.windbend.peer.StoreOutageDetector;
import dev.windbend.runtime.HttpStatus;
import dev.windbend.runtime.RequestHandler;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import dev.windbend.store.Replica;
import dev.windbend.store.StoreClient;
import java.util.function.Consumer;

/** Answers whether this controller can serve users and workers: 200 or 503. */
final class HealthCheck implements RequestHandler {
  private static final long MAX_HEALTHY_STORE_FAILURE_MS = 3_000;

  private final Replica replica;
  private final MachineTypeCatalog catalog;
  private final StoreClient store;
  private final StoreOutageDetector outageDetector;

  HealthCheck(
      Replica replica,
      MachineTypeCatalog catalog,
      StoreClient store,
      StoreOutageDetector outageDetector) {
    this.replica = replica;
    this.catalog = catalog;
    this.store = store;
    this.outageDetector = outageDetector;
  }

  @Override
  public void handle(ServerRequest request, Consumer<ServerResponse> done) {
    done.accept(
        ServerResponse.ofStatus(isHealthy() ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE));
  }

  private boolean isHealthy() {
    return replica.synced() && catalog.isLoaded() && !isIsolatedFromStore();
  }

  /**
   * Whether the state service fails this controller, but not the others. In an outage for all, no
   * controller is better than another, and requests are answered with when to retry.
   */
  private boolean isIsolatedFromStore() {
    return store.failingForMs() > MAX_HEALTHY_STORE_FAILURE_MS
        && (outageDetector.anyPeerServed() || outageDetector.isolated());
  }
}
