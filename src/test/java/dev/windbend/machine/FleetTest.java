package dev.windbend.machine;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.runtime.ClientResponse;
import dev.windbend.runtime.Json;
import dev.windbend.runtime.ManualEventLoop;
import dev.windbend.store.PendingWrite;
import dev.windbend.store.TransactionBuilder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls that a fleet makes to a fake cloud, and its writes to the state service. */
class FleetTest {
  private static final String MACHINE_TYPES_JSON =
      "{\"rigs\":[{\"label\":\"t\",\"cores\":8,\"cards\":0,\"ram_gb\":8,\"cache_gb\":9,"
          + "\"pull_gb_per_s\":1,\"rate\":1,\"low_price\":0.5,\"ready_s\":5,\"yards\":[\"a\"]}]}";

  private int availableInstances;
  private int createdInstances;
  private int appliedWrites;
  private final List<String> terminatedNames = new ArrayList<>();
  private boolean mayAct = true;

  private final ManualEventLoop loop = new ManualEventLoop(1_000);

  /** Applies every write immediately. */
  private final Fleet.Listener listener =
      new Fleet.Listener() {
        @Override
        public void recordChanged(PendingWrite record) {
          if (record.dirty()) {
            record.addTo(new TransactionBuilder());
            record.onApplied(++appliedWrites);
          }
        }

        @Override
        public void machineTerminated(Machine machine) {}

        @Override
        public void fleetChanged() {}

        @Override
        public boolean mayAct() {
          return mayAct;
        }
      };

  private final CloudClient cloud = new CloudClient(loop, this::respond, "cloud:1", 4, 1);
  private final MachineTypeCatalog catalog = new MachineTypeCatalog(loop, cloud, List.of("a"));
  private final Fleet fleet = new Fleet(loop, cloud, catalog, 0, 7, listener);

  FleetTest() {
    catalog.start();
    loop.pendingTasks.clear();
  }

  private void respond(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      java.util.function.Consumer<ClientResponse> done) {
    if (path.equals("/machine_types")) {
      done.accept(new ClientResponse(200, MACHINE_TYPES_JSON.getBytes(StandardCharsets.UTF_8)));
    } else if (path.equals("/hosts/return")) {
      terminatedNames.addAll(Json.read(body, CloudMessages.InstanceNames.class).names());
      done.accept(new ClientResponse(200, "{}".getBytes(StandardCharsets.UTF_8)));
    } else if (availableInstances == 0) {
      byte[] errorBody = "{\"error\":\"no capacity\"}".getBytes(StandardCharsets.UTF_8);
      done.accept(new ClientResponse(503, errorBody));
    } else {
      int granted =
          Math.min(
              availableInstances, Json.read(body, CloudMessages.CreateInstances.class).count());
      availableInstances -= granted;
      List<String> names = new ArrayList<>();
      for (int i = 0; i < granted; i++) {
        names.add("host-" + ++createdInstances);
      }
      done.accept(new ClientResponse(200, Json.write(new CloudMessages.InstanceNames(names))));
    }
  }

  private void advance(long ms) {
    loop.nowMs += ms;
    loop.runPendingTasks();
    fleet.processPending();
  }

  /** Scales out like a shard with a permanent shortage, which requests machines in every cycle. */
  private void scaleOutUnlessRefused(int count) {
    if (!fleet.recentlyRefused(0, 0, true)) {
      fleet.scaleOut(catalog.type(0), 0, true, count);
    }
  }

  @Test
  void probesUnavailableKindWithOneBatchPerBackoff() {
    for (int i = 0; i < 60; i++) {
      scaleOutUnlessRefused(500);
      advance(1_000);
    }
    // Two writes per batch (create and delete): ten batches in the first cycle, then one per 8 s.
    assertThat(appliedWrites).isBetween(20, 36);
    assertThat(fleet.machines()).isEmpty();
    availableInstances = 2_000;
    for (int i = 0; i < 40; i++) {
      scaleOutUnlessRefused(500);
      advance(1_000);
    }
    assertThat(fleet.machines()).as("all instances that the cloud has again").hasSize(2_000);
  }

  /** A process that is suspended while a termination is queued may no longer lead the shard. */
  @ParameterizedTest(name = "still the leader when the call may be sent: {0}")
  @ValueSource(booleans = {true, false})
  void terminatesMachineOnlyIfStillLeader(boolean stillLeader) {
    availableInstances = 1;
    fleet.scaleOut(catalog.type(0), 0, true, 1);
    fleet.processPending();
    for (int i = 0; i < 8; i++) {
      cloud.listInstances(listed -> {}); // exhausts the rate limit
    }
    fleet.scaleIn(fleet.machines().iterator().next(), "test");
    assertThat(terminatedNames).as("queued by the rate limit").isEmpty();
    mayAct = stillLeader;
    for (int i = 0; i < 10; i++) {
      advance(1_000);
    }
    assertThat(terminatedNames).hasSize(stillLeader ? 1 : 0);
  }
}
