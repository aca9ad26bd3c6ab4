package dev.windbend.zone;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.job.Job;
import dev.windbend.job.JobRegistry;
import dev.windbend.job.TestJobs;
import dev.windbend.job.Urgency;
import dev.windbend.machine.CloudClient;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineHealth;
import dev.windbend.machine.MachineIndex;
import dev.windbend.machine.MachineTypeCatalog;
import dev.windbend.machine.ScaleOutRecord;
import dev.windbend.runtime.ClientResponse;
import dev.windbend.runtime.Json;
import dev.windbend.runtime.ManualEventLoop;
import dev.windbend.store.PagedStore;
import dev.windbend.store.PendingWrite;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.VersionedValue;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests a shard with 4,000 machines, half of them in the zone that is lost, and a fake cloud. */
class ZoneMonitorTest {
  private static final String MACHINE_TYPES_JSON =
      "{\"rigs\":[{\"label\":\"t\",\"cores\":8,\"cards\":0,\"ram_gb\":8,\"cache_gb\":9,"
          + "\"pull_gb_per_s\":1,\"rate\":1,\"low_price\":0.5,\"ready_s\":5,"
          + "\"yards\":[\"a\",\"b\"]}]}";
  private static final List<Urgency> URGENCIES = List.of(Urgency.values());
  private static final int MACHINES_PER_SCALE_OUT = 50;
  private static final int SCALE_OUT_COUNT = 80;
  private static final double HEARTBEAT_INTERVAL_SECONDS = 2;
  private static final double LEASE_SECONDS = 14;
  private static final long STEP_MS = 500;
  private static final ZonePolicy POLICY =
      new ZonePolicy(true, List.of(), 3_000, 2_000, 10_000, 80_000, 100_000, 1, 5_000);

  private final ManualEventLoop loop = new ManualEventLoop(1_000_000);
  private final Map<String, VersionedValue> stored = new HashMap<>();
  private final List<String> scaledInMachines = new ArrayList<>();
  private final ZoneMetrics metrics = new ZoneMetrics();
  private int recordWriteCount;
  private ZoneMonitor monitor;

  private final Fleet.Listener listener =
      new Fleet.Listener() {
        @Override
        public void recordChanged(PendingWrite record) {
          storeZoneRecord(record);
        }

        @Override
        public void machineTerminated(Machine machine) {
          monitor.machineTerminated(machine);
        }

        @Override
        public void fleetChanged() {}

        @Override
        public boolean mayAct() {
          return true;
        }
      };

  private final CloudClient cloud = new CloudClient(loop, this::respond, "cloud:1", 60, 1);
  private final MachineTypeCatalog catalog = new MachineTypeCatalog(loop, cloud, List.of("a", "b"));
  private final Fleet fleet = new Fleet(loop, cloud, catalog, 0, 7, listener);
  private final MachineHealth health =
      new MachineHealth(fleet, 2, HEARTBEAT_INTERVAL_SECONDS, LEASE_SECONDS);
  private final JobRegistry jobs =
      new JobRegistry(name -> 0, null, new PagedStore("w/p/0/", 4_096, 8));

  private final ZoneMonitor.JobTimes jobTimes =
      new ZoneMonitor.JobTimes() {
        @Override
        public long dueMs(Job job, long nowMs) {
          return nowMs + 900_000;
        }

        @Override
        public long estimatedRunTimeMs(Job job) {
          return 60_000;
        }

        @Override
        public long maxBootMs() {
          return 5_000;
        }
      };

  ZoneMonitorTest() {
    catalog.start();
    loop.pendingTasks.clear();
    monitor = createMonitor();
    MachineIndex index = new MachineIndex();
    for (int scaleOut = 0; scaleOut < SCALE_OUT_COUNT; scaleOut++) {
      List<String> machineNames = new ArrayList<>();
      for (int i = 0; i < MACHINES_PER_SCALE_OUT; i++) {
        machineNames.add("host-%02d-%02d".formatted(scaleOut, i));
      }
      ScaleOutRecord record =
          new ScaleOutRecord(
              "t", scaleOut % 2 == 0 ? "a" : "b", true, MACHINES_PER_SCALE_OUT, machineNames, null);
      String recordName = "p" + scaleOut;
      index.recordChanged(
          ScaleOutRecord.shardPrefix(0) + recordName, new VersionedValue(Json.tree(record), 1));
      fleet.restore(recordName, record, 1, index, true);
    }
  }

  private ZoneMonitor createMonitor() {
    return createMonitor(POLICY);
  }

  private ZoneMonitor createMonitor(ZonePolicy policy) {
    ZoneMonitor created =
        new ZoneMonitor(
            new ZoneMonitor.Config(0, 2, "a", HEARTBEAT_INTERVAL_SECONDS, LEASE_SECONDS),
            policy,
            loop,
            fleet,
            health,
            jobs,
            jobTimes,
            new ZoneMonitor.RecordStore(stored::get, this::storeZoneRecord),
            metrics);
    created.recover(catalog.zones());
    return created;
  }

  /** Completes the write of a zone's record immediately; ignores other records. */
  private void storeZoneRecord(PendingWrite write) {
    if (write instanceof ZoneRecordWrite zoneWrite && zoneWrite.dirty()) {
      recordWriteCount++;
      zoneWrite.addTo(new TransactionBuilder());
      zoneWrite.onApplied(recordWriteCount);
    }
  }

  private void respond(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<ClientResponse> onResponse) {
    if (path.equals("/hosts/return")) {
      Json.read(body, JsonNode.class).path("trucks").forEach(n -> scaledInMachines.add(n.asText()));
    }
    String responseBody = path.equals("/machine_types") ? MACHINE_TYPES_JSON : "{}";
    onResponse.accept(new ClientResponse(200, responseBody.getBytes(StandardCharsets.UTF_8)));
  }

  /** Places a task on each machine of the zone that has already run for the given time. */
  private void startTaskOnEachMachine(int zone, long elapsedRunTimeMs) {
    int jobNumber = 0;
    for (Machine machine : fleet.machines()) {
      if (machine.zone() == zone) {
        Job job = TestJobs.createJob(jobNumber, URGENCIES.get(jobNumber++ % URGENCIES.size()));
        var placement = job.place(0, machine.name(), loop.nowMs, 7, 1);
        placement.recordReported();
        placement.recordRunning(loop.nowMs - elapsedRunTimeMs);
        machine.add(placement);
      }
    }
  }

  private void recordHeartbeats(int zone) {
    for (Machine machine : fleet.machines()) {
      if (machine.zone() == zone) {
        recordHeartbeat(machine, true);
      }
    }
  }

  private void recordHeartbeat(Machine machine, boolean underLeaderToken) {
    machine
        .liveness()
        .recordHeartbeat(
            machine.liveness().incarnation(),
            machine.liveness().heartbeatSequence(),
            machine.liveness().address(),
            underLeaderToken,
            loop.nowMs);
  }

  /** Advances the clock while only the machines of the given zones send heartbeats. */
  private void advance(long durationMs, int... responsiveZones) {
    for (long untilMs = loop.nowMs + durationMs; loop.nowMs < untilMs; ) {
      loop.nowMs += STEP_MS;
      for (int zone : responsiveZones) {
        recordHeartbeats(zone);
      }
      loop.runPendingTasks();
      monitor.check(loop.nowMs, 0);
      health.check(loop.nowMs, 0, monitor::isEvacuated);
      fleet.processPending();
    }
  }

  private long closedMachineCount() {
    return fleet.machines().stream().filter(m -> m.zoneClosed()).count();
  }

  @Test
  void evacuatesLostZoneOf2000MachinesByPriority() {
    advance(10_000, 0, 1);
    assertThat(recordWriteCount).as("no record is written before a loss").isZero();
    startTaskOnEachMachine(1, 1_000);
    advance(8_000, 0);
    assertThat(monitor.scaleOutLimit(1)).isZero();
    assertThat(monitor.scaleOutLimit(0)).isPositive();
    assertThat(closedMachineCount())
        .isEqualTo(fleet.machines().stream().filter(m -> m.zone() == 1).count());
    int scaledInBeforeLeaseEnd = scaledInMachines.size();
    advance(40_000, 0);
    assertThat(scaledInMachines)
        .as("exactly the machines of the lost zone")
        .hasSize(SCALE_OUT_COUNT * MACHINES_PER_SCALE_OUT / 2);
    assertThat(fleet.machines()).allMatch(m -> m.zone() == 0 && !m.zoneClosed());
    assertThat(scaledInBeforeLeaseEnd)
        .as("machines scaled in before their leases end")
        .isPositive();
    assertThat(scaledInMachines.stream().limit(500).map(this::rankOfTaskOn))
        .as("most urgent tasks first")
        .isSorted();
    assertThat(recordWriteCount)
        .as("number of writes is bounded by transitions, not machines")
        .isLessThan(20);
    assertThat(metrics.values()).containsEntry("windbend.zone.losses", 1.0);
    assertThat(metrics.values()).containsEntry("windbend.zone.evacuated", 2_000.0);
  }

  /** Returns the rank of the task that {@link #startTaskOnEachMachine} placed on the machine. */
  private int rankOfTaskOn(String machineName) {
    int scaleOut = Integer.parseInt(machineName.substring(5, 7));
    int jobNumber =
        scaleOut / 2 * MACHINES_PER_SCALE_OUT + Integer.parseInt(machineName.substring(8));
    return jobNumber % URGENCIES.size();
  }

  /**
   * A machine with much unsaved progress is kept until its lease ends, so its tasks continue if the
   * zone returns before then.
   */
  @Test
  void readmitsZoneGraduallyWithoutScaleInWhenItReturnsBeforeLeasesEnd() {
    advance(4_000, 0, 1);
    startTaskOnEachMachine(1, 50_000);
    advance(8_000, 0);
    assertThat(monitor.isEvacuated(1)).isTrue();
    advance(11_500, 0, 1);
    assertThat(scaledInMachines).isEmpty();
    List<Long> openMachineCounts = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      advance(5_000, 0, 1);
      openMachineCounts.add(SCALE_OUT_COUNT * MACHINES_PER_SCALE_OUT - closedMachineCount());
    }
    assertThat(openMachineCounts).isSorted();
    assertThat(openMachineCounts.get(0)).isBetween(2_001L, 2_030L);
    assertThat(openMachineCounts.get(3)).isBetween(2_030L, 2_200L);
    assertThat(monitor.scaleOutLimit(1)).isLessThan(50);
    advance(60_000, 0, 1);
    assertThat(closedMachineCount()).isZero();
    assertThat(scaledInMachines).isEmpty();
  }

  /**
   * State and backoff survive a failover. Records without some of the fields, or with an unknown
   * state, are accepted.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      value = {
        "{\"state\":\"unreachable\",\"since_ms\":999000,\"losses\":3}|UNREACHABLE|39",
        "{\"state\":\"returning\",\"since_ms\":999000}|RETURNING|0",
        "{\"state\":\"later than this version\",\"since_ms\":999000}|HEALTHY|0",
        "{}|HEALTHY|0"
      })
  void restoresZoneFromRecordOfPreviousLeader(
      String record, ZoneState state, long minReturnInSeconds) {
    JsonNode storedValue = Json.read(record.getBytes(StandardCharsets.UTF_8), JsonNode.class);
    stored.put(ZoneRecord.key(0, "b"), new VersionedValue(storedValue, 5));
    monitor = createMonitor();
    ZoneStatus zoneStatus = monitor.statuses().get(1);
    assertThat(zoneStatus.state()).isEqualTo(state);
    assertThat(zoneStatus.minReturnInSeconds()).isEqualTo(minReturnInSeconds);
  }

  /**
   * With a single monitored zone, a recorded loss must not close the zone or keep its silent
   * machines from being scaled in.
   */
  @Test
  void ignoresRecordWhenOnlyOneZoneIsMonitored() {
    JsonNode record = Json.tree(new ZoneRecord(ZoneState.UNREACHABLE, 999_000, 1, null));
    stored.put(ZoneRecord.key(0, "b"), new VersionedValue(record, 5));
    monitor =
        createMonitor(
            new ZonePolicy(true, List.of("b"), 3_000, 2_000, 10_000, 80_000, 100_000, 1, 5_000));
    assertThat(monitor.isEvacuated(1)).isFalse();
    assertThat(monitor.scaleOutLimit(1)).isEqualTo(Integer.MAX_VALUE);
    assertThat(monitor.statuses()).isEmpty();
  }

  /** A controller that receives no heartbeats at all may be isolated itself. */
  @Test
  void marksNoZoneUnreachableWhenAllMachinesAreSilent() {
    advance(4_000, 0, 1);
    advance(10_000);
    assertThat(monitor.isEvacuated(0) || monitor.isEvacuated(1)).isFalse();
  }

  /**
   * A controller that is too slow to process heartbeats misses those of all zones. In a run over
   * loopback, this closed all machines of one zone for minutes.
   */
  @Test
  void keepsZonesHealthyWhenMostHeartbeatsOfAllZonesAreMissed() {
    advance(4_000, 0, 1);
    for (int i = 0; i < 20; i++) {
      fleet.machines().stream()
          .filter(m -> m.name().endsWith("0") || (m.zone() == 0 && m.name().endsWith("1")))
          .forEach(m -> recordHeartbeat(m, m.confirmedUnderToken()));
      advance(STEP_MS);
    }
    assertThat(monitor.statuses()).allMatch(z -> z.state() == ZoneState.HEALTHY);
  }
}
