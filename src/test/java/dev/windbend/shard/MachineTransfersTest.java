package dev.windbend.shard;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineIndex;
import dev.windbend.machine.MachineMessages.TaskRequirements;
import dev.windbend.machine.ScaleOutRecord;
import dev.windbend.machine.TestFleet;
import dev.windbend.peer.MachineTransferMessages;
import dev.windbend.runtime.Json;
import dev.windbend.runtime.ManualEventLoop;
import dev.windbend.store.VersionedValue;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Requests for machines to a shard that has a guarantee of 40 cores and ten machines of 8 cores,
 * none of which it offers as idle.
 */
class MachineTransfersTest {
  private final ManualEventLoop loop = new ManualEventLoop(1_000);

  private Fleet fleet;
  private MachineTransfers transfers;

  @BeforeEach
  void createFleetOfTenMachines() {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      names.add("m" + i);
    }
    fleet = TestFleet.withMachines(loop, names);
    fleet.machines().forEach(MachineTransfersTest::confirmUnderToken);
    transfers = new MachineTransfers(0, loop, fleet, 40, (shard, request, done) -> {});
  }

  private static void confirmUnderToken(Machine machine) {
    machine
        .liveness()
        .recordHeartbeat(
            machine.liveness().incarnation(),
            machine.liveness().heartbeatSequence(),
            machine.liveness().address(),
            true,
            machine.lastHeartbeatMs());
  }

  private int transferredCount(int count, double guaranteeShare) {
    return transfers
        .transfer(1, new MachineTransferMessages.Request(count, guaranteeShare, null))
        .count();
  }

  private long reservedCount(int shard) {
    return fleet.machines().stream().filter(m -> m.reservedForShard() == shard).count();
  }

  @ParameterizedTest(
      name = "request for {0} machines by a shard with {1} of its guarantee: {2} reserved")
  @CsvSource({
    "3,1.0,0", // guarantee is met: idle machines only
    "3,0.9,3", "8,0.9,5", // limited to the cores above the own guarantee
    "8,0.4,5", "8,0.0,5",
  })
  void reservesMachinesAboveItsOwnGuarantee(int count, double guaranteeShare, int reserved) {
    assertThat(transferredCount(count, guaranteeShare)).isEqualTo(reserved);
    assertThat(reservedCount(1)).isEqualTo(reserved);
  }

  /** A repeated request returns the machines that are already reserved and reserves no more. */
  @Test
  void reservedMachinesCountTowardsLaterRequests() {
    assertThat(transferredCount(3, 0.9)).isEqualTo(3);
    assertThat(transferredCount(3, 0.9)).isEqualTo(3);
    assertThat(reservedCount(1)).isEqualTo(3);
  }

  @Test
  void starvedShardGetsShareWhenNeitherGuaranteeIsMet() {
    transfers = new MachineTransfers(0, loop, fleet, 100, (shard, request, done) -> {});
    assertThat(transferredCount(9, 0.9)).isZero();
    assertThat(transferredCount(9, 0.2)).isEqualTo(3);
  }

  /**
   * All ten machines have free capacity: as many as requested are reserved if the task may run on
   * them.
   */
  @ParameterizedTest(
      name = "task of {0} cores, zone {1}, spot {2}, {3} machines requested: {4} reserved")
  @CsvSource({
    "2,,true,1,1",
    "2,,true,3,3",
    "2,a,true,1,1",
    "2,b,true,1,0", // all machines are in another zone
    "2,,false,1,0", // all machines are spot instances
    "9,,true,1,0", // larger than any machine
  })
  void reservesMachinesForOverdueTasks(
      double cores, String zone, boolean spot, int requested, int reserved) {
    MachineTransferMessages.Request request = overdueRequest(cores, zone, spot, requested);
    assertThat(transfers.transfer(1, request).overdueCount()).isEqualTo(reserved);
    assertThat(reservedCount(1)).isEqualTo(reserved);
    // The requester repeats its request if the reply was lost: no further machine is reserved.
    assertThat(transfers.transfer(1, request).overdueCount()).isEqualTo(reserved);
    assertThat(reservedCount(1)).isEqualTo(reserved);
  }

  /**
   * A shard keeps a machine that it has just received, also if another shard has an overdue task.
   */
  @Test
  void keepsRecentlyReceivedMachine() {
    ScaleOutRecord record = new ScaleOutRecord("t", "a", true, 1, List.of("received"), 6L);
    MachineIndex machineIndex = new MachineIndex();
    String key = ScaleOutRecord.shardPrefix(0) + "g";
    machineIndex.recordChanged(key, new VersionedValue(Json.tree(record), 6));
    Fleet fleetWithReceivedMachine = TestFleet.create(loop);
    fleetWithReceivedMachine.restore("g", record, 6, machineIndex, false);
    fleetWithReceivedMachine.machines().forEach(MachineTransfersTest::confirmUnderToken);
    transfers =
        new MachineTransfers(0, loop, fleetWithReceivedMachine, 0, (shard, request, done) -> {});
    assertThat(transfers.transfer(1, overdueRequest(2, null, true, 1)).overdueCount()).isZero();
  }

  private static MachineTransferMessages.Request overdueRequest(
      double cores, String zone, boolean spot, int machines) {
    List<String> zones = zone == null ? null : List.of(zone);
    TaskRequirements task = new TaskRequirements(cores, 0, 1, null, zones, spot);
    return new MachineTransferMessages.Request(
        0, 1, new MachineTransferMessages.OverdueTasks(task, machines));
  }
}
