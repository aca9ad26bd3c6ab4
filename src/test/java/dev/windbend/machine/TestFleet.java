package dev.windbend.machine;

import dev.windbend.runtime.ClientResponse;
import dev.windbend.runtime.Json;
import dev.windbend.runtime.ManualEventLoop;
import dev.windbend.store.PendingWrite;
import dev.windbend.store.VersionedValue;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Creates fleets of shard 0, led under token 7, whose only machine type "t" has 8 cores and 8 GB.
 * No change of a record is written.
 */
public final class TestFleet {
  private static final long TOKEN = 7;
  private static final String TYPES =
      "{\"rigs\":[{\"label\":\"t\",\"cores\":8,\"cards\":0,\"ram_gb\":8,\"cache_gb\":9,"
          + "\"pull_gb_per_s\":1,\"rate\":1,\"low_price\":0.5,\"ready_s\":5,\"yards\":[\"a\"]}]}";

  private TestFleet() {}

  /** Creates a fleet without machines. */
  public static Fleet create(ManualEventLoop loop) {
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
    return new Fleet(loop, cloud, catalog, 0, TOKEN, new IgnoringListener());
  }

  /** Creates a fleet with machines that a stored record names; none has sent a heartbeat. */
  public static Fleet withMachines(ManualEventLoop loop, List<String> names) {
    Fleet fleet = create(loop);
    ScaleOutRecord record = new ScaleOutRecord("t", "a", true, names.size(), names, null);
    MachineIndex machineIndex = new MachineIndex();
    machineIndex.recordChanged(
        ScaleOutRecord.shardPrefix(0) + "h", new VersionedValue(Json.tree(record), 5));
    fleet.restore("h", record, 5, machineIndex, false);
    return fleet;
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
