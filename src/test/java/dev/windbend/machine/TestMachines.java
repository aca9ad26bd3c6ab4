package dev.windbend.machine;

import dev.windbend.runtime.ClientResponse;
import dev.windbend.runtime.Json;
import dev.windbend.runtime.ManualEventLoop;
import dev.windbend.store.PendingWrite;
import dev.windbend.store.VersionedValue;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Creates machines of 8 cores and 64 GB that a stored record assigns to the shard. */
public final class TestMachines {
  private static final String TYPES =
      "{\"rigs\":[{\"label\":\"t\",\"cores\":8,\"cards\":0,\"ram_gb\":64,\"cache_gb\":9,"
          + "\"pull_gb_per_s\":1,\"rate\":1,\"low_price\":0.5,\"ready_s\":5,\"yards\":[\"a\"]}]}";

  private TestMachines() {}

  /** Creates a machine without tasks that has sent no heartbeat. */
  public static Machine create(String name) {
    ManualEventLoop loop = new ManualEventLoop(1_000);
    CloudClient cloud =
        new CloudClient(
            loop,
            (address, method, path, body, timeoutMs, done) ->
                done.accept(new ClientResponse(200, TYPES.getBytes(StandardCharsets.UTF_8))),
            "cloud:1",
            10,
            1);
    MachineTypeCatalog catalog = new MachineTypeCatalog(loop, cloud, List.of("a"));
    catalog.start();
    Fleet fleet = new Fleet(loop, cloud, catalog, 0, 7, new IgnoringListener());
    ScaleOutRecord record = new ScaleOutRecord("t", "a", true, 1, List.of(name), null);
    MachineIndex machineIndex = new MachineIndex();
    machineIndex.recordChanged(
        ScaleOutRecord.shardPrefix(0) + "h", new VersionedValue(Json.tree(record), 5));
    fleet.restore("h", record, 5, machineIndex, false);
    return fleet.find(name);
  }

  private static final class IgnoringListener implements Fleet.Listener {
    @Override
    public void recordChanged(PendingWrite record) {}

    @Override
    public void machineTerminated(Machine machine) {}

    @Override
    public void fleetChanged() {}

    @Override
    public boolean mayAct() {
      return true;
    }
  }
}
