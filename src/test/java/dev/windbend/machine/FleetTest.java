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

/** What a fleet asks of the cloud and of the state service. */
class FleetTest {
  private static final String TYPES =
      "{\"rigs\":[{\"label\":\"t\",\"cores\":8,\"cards\":0,\"ram_gb\":8,\"cache_gb\":9,"
          + "\"pull_gb_per_s\":1,\"rate\":1,\"low_price\":0.5,\"ready_s\":5,\"yards\":[\"a\"]}]}";

  private int stock;
  private int named;
  private int changes;
  private final List<String> returned = new ArrayList<>();
  private boolean mayAct = true;

  private final ManualEventLoop loop = new ManualEventLoop(1_000);

  /** Every record is stored at once. */
  private final Fleet.Listener listener =
      new Fleet.Listener() {
        @Override
        public void recordChanged(PendingWrite record) {
          if (record.dirty()) {
            record.addTo(new TransactionBuilder());
            record.onApplied(++changes);
          }
        }

        @Override
        public void machineGone(Machine machine) {}

        @Override
        public void fleetChanged() {}

        @Override
        public boolean mayAct() {
          return mayAct;
        }
      };

  private final CloudClient cloud = new CloudClient(loop, this::answer, "cloud:1", 4, 1);
  private final MachineTypeCatalog catalog = new MachineTypeCatalog(loop, cloud, List.of("a"));
  private final Fleet fleet = new Fleet(loop, cloud, catalog, 0, 7, listener);

  FleetTest() {
    catalog.start();
    loop.waiting.clear();
  }

  private void answer(
      String address,
      String method,
      String path,
      byte[] body,
      long limitMs,
      java.util.function.Consumer<ClientResponse> done) {
    if (path.equals("/machine_types")) {
      done.accept(new ClientResponse(200, TYPES.getBytes(StandardCharsets.UTF_8)));
    } else if (path.equals("/hosts/return")) {
      returned.addAll(Json.read(body, CloudMessages.Machines.class).names());
      done.accept(new ClientResponse(200, "{}".getBytes(StandardCharsets.UTF_8)));
    } else if (stock == 0) {
      byte[] none = "{\"error\":\"no capacity\"}".getBytes(StandardCharsets.UTF_8);
      done.accept(new ClientResponse(503, none));
    } else {
      int n = Math.min(stock, Json.read(body, CloudMessages.CreateInstances.class).count());
      stock -= n;
      List<String> names = new ArrayList<>();
      for (int i = 0; i < n; i++) {
        names.add("host-" + ++named);
      }
      done.accept(new ClientResponse(200, Json.write(new CloudMessages.Machines(names))));
    }
  }

  private void pass(long ms) {
    loop.nowMs += ms;
    loop.fire();
    fleet.pursue();
  }

  /** As a shard does that lacks machines all day: what is on offer is wanted again every round. */
  private void want(int count) {
    if (!fleet.isRefused(0, 0, true)) {
      fleet.scaleOut(catalog.type(0), 0, true, count);
    }
  }

  @Test
  void asksForWhatTheCloudLacksByOneBatchNowAndThen() {
    for (int i = 0; i < 60; i++) {
      want(500);
      pass(1_000);
    }
    // A record stored and removed: the ten batches of the first round, then one each 8 s.
    assertThat(changes).isBetween(20, 36);
    assertThat(fleet.machines()).isEmpty();
    stock = 2_000;
    for (int i = 0; i < 40; i++) {
      want(500);
      pass(1_000);
    }
    assertThat(fleet.machines()).as("all that the cloud has again").hasSize(2_000);
  }

  /** A process that stood still with a return in its queue may have lost the shard meanwhile. */
  @ParameterizedTest(name = "still the owner when it may be sent: {0}")
  @ValueSource(booleans = {true, false})
  void givesBackOnlyWhatIsStillItsOwn(boolean owner) {
    stock = 1;
    fleet.scaleOut(catalog.type(0), 0, true, 1);
    fleet.pursue();
    for (int i = 0; i < 8; i++) {
      cloud.listInstances(listed -> {}); // uses the rate up
    }
    fleet.scaleIn(fleet.machines().iterator().next(), "test");
    assertThat(returned).as("has to wait").isEmpty();
    mayAct = owner;
    for (int i = 0; i < 10; i++) {
      pass(1_000);
    }
    assertThat(returned).hasSize(owner ? 1 : 0);
  }
}
