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

/** Responds with 200 if this controller can serve users and workers, and with 503 otherwise. */
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
   * Returns whether the state service fails for this controller only: another controller has been
   * served recently, or no other controller responds. In an outage that affects all controllers,
   * this one stays healthy: no other controller could serve better, and its responses state when to
   * retry.
   */
  private boolean isIsolatedFromStore() {
    return store.failingForMs() > MAX_HEALTHY_STORE_FAILURE_MS
        && (outageDetector.anyPeerServed() || outageDetector.isolated());
  }
}
