package dev.windbend.zone;

import dev.windbend.job.Job;
import dev.windbend.job.JobRegistry;
import dev.windbend.job.Placement;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineHealth;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.NameIndex;
import dev.windbend.store.PendingWrite;
import dev.windbend.store.VersionedValue;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Monitors the zones of a shard. It detects from the workers' heartbeats that a zone is lost,
 * scales in the machines of a lost zone in order of priority, and admits new work to a returning
 * zone gradually. The monitor does not decide which tasks may start again: a task is restarted only
 * once its attempt is confirmed terminated.
 */
public final class ZoneMonitor implements ZoneAvailability {
  private static final Logger LOG = LoggerFactory.getLogger(ZoneMonitor.class);

  /**
   * Interval at which the displaced jobs in the zones' records are updated; a change of a zone's
   * state also updates its record.
   */
  private static final long RECORD_REFRESH_INTERVAL_MS = 5_000;

  /**
   * Maximum number of machines being terminated at a time. Limits how many terminations precede
   * that of a machine with more urgent tasks that is found lost later.
   */
  private static final int MAX_TERMINATING_MACHINES = 100;

  /**
   * If this many zones other than the controller's own seem lost and no machine outside its own
   * zone is responsive, the controller is considered isolated and no zone is declared lost.
   */
  private static final int MIN_LOST_ZONES_FOR_ISOLATION = 2;

  /** With fewer zones, there is no other zone to compare with. */
  private static final int MIN_MONITORED_ZONES = 2;

  private static final double MS_PER_SECOND = 1_000;

  private final Config config;
  private final ZonePolicy policy;
  private final EventLoop loop;
  private final Fleet fleet;
  private final MachineHealth health;
  private final JobTimes jobTimes;
  private final RecordStore recordStore;
  private final ZoneMetrics metrics;
  private final DisplacedJobs displacedJobs;
  private final EvacuationTaskBuilder evacuationTaskBuilder;
  private final Map<Integer, Zone> zones = new TreeMap<>();
  private final long leaseMs;
  private long lastRecordRefreshMs;

  /** Deadlines and durations of jobs. */
  public interface JobTimes {
    /** Returns the time at which the job is due (monotonic clock, ms). */
    long dueMs(Job job, long nowMs);

    /** Returns the estimated run time of a task of the job. */
    long estimatedRunTimeMs(Job job);

    /** Returns the boot time of the machine type that boots slowest. */
    long maxBootMs();
  }

  /**
   * Access to the zones' records in the state service.
   *
   * @param lookup reads a key from this controller's replica; returns null if the key does not
   *     exist
   * @param enqueueWrite enqueues a write of a changed record
   */
  public record RecordStore(
      Function<String, VersionedValue> lookup, Consumer<PendingWrite> enqueueWrite) {}

  /**
   * The shard and the controller of a monitor, and the timing of the workers.
   *
   * @param shardCount number of shards of the deployment
   * @param ownZone name of the controller's zone
   * @param heartbeatIntervalSeconds interval of the workers' heartbeats
   * @param leaseSeconds how long after its last renewal a worker's lease expires
   */
  public record Config(
      int shard,
      int shardCount,
      String ownZone,
      double heartbeatIntervalSeconds,
      double leaseSeconds) {}

  /** Creates a monitor without zones; {@link #recover} adds them. */
  public ZoneMonitor(
      Config config,
      ZonePolicy policy,
      EventLoop loop,
      Fleet fleet,
      MachineHealth health,
      JobRegistry jobs,
      JobTimes jobTimes,
      RecordStore recordStore,
      ZoneMetrics metrics) {
    this.config = config;
    this.policy = policy;
    this.loop = loop;
    this.fleet = fleet;
    this.health = health;
    this.jobTimes = jobTimes;
    this.recordStore = recordStore;
    this.metrics = metrics;
    this.displacedJobs = new DisplacedJobs(jobs, metrics);
    this.evacuationTaskBuilder = new EvacuationTaskBuilder(jobTimes);
    this.leaseMs =
        (long) (MS_PER_SECOND * (config.leaseSeconds() + 2 * config.heartbeatIntervalSeconds()));
    this.lastRecordRefreshMs = loop.nowMs();
  }

  /**
   * Starts monitoring the zones, in the states that the previous leader recorded. If fewer than two
   * zones are monitored, there is no other zone to compare with: the records are ignored, no zone
   * is closed, and lost machines are handled one by one.
   *
   * @param zoneNames names of the deployment's zones, by index
   */
  public void recover(NameIndex zoneNames) {
    long nowMs = loop.nowMs();
    for (int index = 0; index < zoneNames.size(); index++) {
      String name = zoneNames.name(index);
      if (policy.isMonitored(name)) {
        zones.put(index, restoreZone(index, name, nowMs));
      }
    }
    if (zones.size() < MIN_MONITORED_ZONES) {
      zones.clear();
    }
  }

  private Zone restoreZone(int index, String name, long nowMs) {
    String key = ZoneRecord.key(config.shard(), name);
    VersionedValue stored = recordStore.lookup().apply(key);
    ZoneRecord record = ZoneRecord.read(stored);
    Zone zone = new Zone(index, name, policy, new ZoneRecordWrite(key, record, stored), nowMs);
    if (record != null) {
      zone.restore(record, loop.wallMs() - record.stateSinceWallMs(), nowMs);
      record.displacedUids().forEach(uid -> displacedJobs.restore(uid, index, zone.lastLostMs()));
      LOG.info(
          "zone state restored: shard={} zone={} state={}",
          config.shard(),
          name,
          zone.state().label());
    }
    return zone;
  }

  /**
   * Updates the state of each zone from its machines' condition, opens or closes the machines to
   * new work, and scales in machines of unreachable zones.
   *
   * @param nowMs monotonic clock
   * @param reachableSinceMs since when this leader has been able to receive heartbeats and to
   *     respond to them (monotonic clock)
   */
  public void check(long nowMs, long reachableSinceMs) {
    if (zones.isEmpty()) {
      return;
    }
    Map<Integer, List<Machine>> machinesByZone = groupMachinesByZone();
    collectEvidence(machinesByZone, nowMs, reachableSinceMs);
    for (Zone zone : zones.values()) {
      List<Machine> zoneMachines = machinesByZone.getOrDefault(zone.index, List.of());
      ZoneState previousState = zone.state();
      if (zone.stateMachine.observe(zone.evidence, zone.allMachinesUsable(), nowMs)) {
        handleChange(zone, previousState, nowMs);
      }
      metrics.recordReadmittedMachines(zone.updateUsableMachines(zoneMachines, nowMs));
      if (zone.state() == ZoneState.UNREACHABLE) {
        evacuate(zone, zoneMachines, nowMs, reachableSinceMs);
      }
    }
    displacedJobs.update(nowMs);
    if (nowMs - lastRecordRefreshMs >= RECORD_REFRESH_INTERVAL_MS) {
      lastRecordRefreshMs = nowMs;
      zones.values().forEach(this::updateRecord);
    }
  }

  private Map<Integer, List<Machine>> groupMachinesByZone() {
    Map<Integer, List<Machine>> machinesByZone = new TreeMap<>();
    for (Machine machine : fleet.machines()) {
      if (!machine.terminating()) {
        machinesByZone.computeIfAbsent(machine.zone(), zone -> new ArrayList<>()).add(machine);
      }
    }
    return machinesByZone;
  }

  /**
   * Counts the machines of each zone by condition. The evidence for a zone is inconclusive unless
   * most machines outside the zone are responsive, and for all zones if this controller seems
   * isolated.
   */
  private void collectEvidence(
      Map<Integer, List<Machine>> machinesByZone, long nowMs, long reachableSinceMs) {
    int responsive = 0;
    int lost = 0;
    int otherZonesLost = 0;
    boolean anyOtherZoneResponsive = false;
    for (Zone zone : zones.values()) {
      zone.evidence =
          countMachines(
              machinesByZone.getOrDefault(zone.index, List.of()), nowMs, reachableSinceMs);
      responsive += zone.evidence.responsive();
      lost += zone.evidence.lost();
      if (!zone.name.equals(config.ownZone())) {
        anyOtherZoneResponsive |= zone.evidence.responsive() > 0;
        otherZonesLost += zone.evidence.isZoneLost() ? 1 : 0;
      }
    }
    boolean likelyIsolated =
        !anyOtherZoneResponsive && otherZonesLost >= MIN_LOST_ZONES_FOR_ISOLATION;
    for (Zone zone : zones.values()) {
      ZoneEvidence counts = zone.evidence;
      boolean othersMostlyResponsive = responsive - counts.responsive() > lost - counts.lost();
      zone.evidence =
          new ZoneEvidence(
              counts.responsive(),
              counts.silent(),
              counts.unresponsive(),
              likelyIsolated || !othersMostlyResponsive);
    }
  }

  private ZoneEvidence countMachines(List<Machine> machines, long nowMs, long reachableSinceMs) {
    int responsive = 0;
    int silent = 0;
    int unresponsive = 0;
    for (Machine machine : machines) {
      switch (health.condition(machine, nowMs, reachableSinceMs)) {
        case RESPONSIVE -> responsive++;
        case SILENT -> silent++;
        case UNRESPONSIVE -> unresponsive++;
        default -> {
          // BOOTING: no heartbeat is expected yet
        }
      }
    }
    return new ZoneEvidence(responsive, silent, unresponsive, false);
  }

  private void handleChange(Zone zone, ZoneState previousState, long nowMs) {
    ZoneState newState = zone.state();
    if (previousState != newState) {
      LOG.info(
          "zone state changed: shard={} zone={} from={} to={} {} others_lost={}/{} losses={}",
          config.shard(),
          zone.name,
          previousState.label(),
          newState.label(),
          zone.evidence,
          countOtherShardsUnreachable(zone),
          config.shardCount() - 1,
          zone.stateMachine.losses());
      zone.recordStateChange(loop.wallMs(), nowMs);
      if (newState == ZoneState.UNREACHABLE) {
        metrics.recordLoss(previousState == ZoneState.RETURNING);
      }
    }
    updateRecord(zone);
  }

  /**
   * Stores the zone's state, losses and displaced jobs. A zone in normal operation has no record
   * before its first loss and after all of its losses have decayed, unless jobs are still
   * displaced.
   */
  private void updateRecord(Zone zone) {
    List<String> displacedUids = displacedJobs.uidsToRecord(zone.index);
    boolean recordUnneeded =
        zone.inNormalOperation() && zone.stateMachine.losses() == 0 && displacedUids.isEmpty();
    zone.recordWrite.setDesired(
        recordUnneeded
            ? null
            : new ZoneRecord(
                zone.state(), zone.stateSinceWallMs(), zone.stateMachine.losses(), displacedUids));
    if (zone.recordWrite.dirty()) {
      recordStore.enqueueWrite().accept(zone.recordWrite);
    }
  }

  /** Counts the other shards whose records have this zone as unreachable. */
  private int countOtherShardsUnreachable(Zone zone) {
    int unreachableCount = 0;
    for (int shard = 0; shard < config.shardCount(); shard++) {
      ZoneRecord record =
          ZoneRecord.read(recordStore.lookup().apply(ZoneRecord.key(shard, zone.name)));
      boolean unreachable = record != null && record.state() == ZoneState.UNREACHABLE;
      unreachableCount += shard != config.shard() && unreachable ? 1 : 0;
    }
    return unreachableCount;
  }

  // ---- evacuation

  private void evacuate(Zone zone, List<Machine> machines, long nowMs, long reachableSinceMs) {
    int maxScaleIns = MAX_TERMINATING_MACHINES - fleet.terminatingCount();
    if (maxScaleIns <= 0) {
      return;
    }
    Map<String, Machine> machinesByName = new TreeMap<>();
    List<EvacuationPlan.LostMachine> lostMachines = new ArrayList<>();
    for (Machine machine : machines) {
      MachineHealth.Condition condition = health.condition(machine, nowMs, reachableSinceMs);
      boolean unresponsive = condition == MachineHealth.Condition.UNRESPONSIVE;
      if (unresponsive || condition == MachineHealth.Condition.SILENT) {
        long lastRenewalMs =
            unresponsive
                ? zone.stateMachine.stateSinceMs()
                : Math.max(machine.lastHeartbeatMs(), reachableSinceMs);
        machinesByName.put(machine.name(), machine);
        lostMachines.add(
            new EvacuationPlan.LostMachine(
                machine.name(),
                lastRenewalMs + leaseMs,
                evacuationTaskBuilder.tasksOn(machine, zone.name, nowMs)));
      }
    }
    List<Machine> toScaleIn =
        EvacuationPlan.machinesToScaleIn(lostMachines, jobTimes.maxBootMs(), nowMs).stream()
            .limit(maxScaleIns)
            .map(l -> machinesByName.get(l.machine()))
            .toList();
    if (!toScaleIn.isEmpty()) {
      metrics.recordEvacuatedMachines(toScaleIn.size());
      fleet.scaleIn(toScaleIn, "zone " + zone.name + " unreachable");
    }
  }

  /**
   * Called when the cloud has confirmed that the machine no longer exists, while its tasks are
   * still assigned to it. If its zone is lost or returning, their jobs become displaced.
   */
  public void machineTerminated(Machine machine) {
    Zone zone = zones.get(machine.zone());
    if (zone != null && !zone.inNormalOperation()) {
      for (Placement placement : machine.tasks().values()) {
        displacedJobs.add(placement.job(), zone.index, zone.lastLostMs());
      }
    }
  }

  // ---- queries by scheduling, scale-out and machine health

  @Override
  public int scaleOutLimit(int zone) {
    Zone monitoredZone = zones.get(zone);
    if (monitoredZone == null) {
      return Integer.MAX_VALUE;
    }
    return switch (monitoredZone.state()) {
      case HEALTHY, DEGRADED -> Integer.MAX_VALUE;
      case RETURNING -> monitoredZone.returnRateLimiter.availableMachines();
      case UNREACHABLE -> 0;
    };
  }

  @Override
  public void recordScaleOut(int zone, int machines) {
    Zone monitoredZone = zones.get(zone);
    if (monitoredZone != null && monitoredZone.state() == ZoneState.RETURNING) {
      monitoredZone.returnRateLimiter.consume(machines);
    }
  }

  @Override
  public boolean isEvacuated(int zone) {
    Zone monitoredZone = zones.get(zone);
    return monitoredZone != null && monitoredZone.state() == ZoneState.UNREACHABLE;
  }

  @Override
  public boolean isDisplaced(Job job) {
    return displacedJobs.contains(job);
  }

  @Override
  public boolean isUnreachable(String name) {
    return zones.values().stream()
        .anyMatch(z -> z.name.equals(name) && z.state() == ZoneState.UNREACHABLE);
  }

  /** Returns the status of each monitored zone, for operators. */
  public List<ZoneStatus> statuses() {
    long nowMs = loop.nowMs();
    List<ZoneStatus> statuses = new ArrayList<>();
    for (Zone zone : zones.values()) {
      boolean unreachable = zone.state() == ZoneState.UNREACHABLE;
      long returnInMs = unreachable ? Math.max(0, zone.stateMachine.earliestReturnMs() - nowMs) : 0;
      statuses.add(
          new ZoneStatus(
              config.shard(),
              zone.name,
              zone.state(),
              (long) ((nowMs - zone.stateMachine.stateSinceMs()) / MS_PER_SECOND),
              zone.evidence.responsive(),
              zone.evidence.silent(),
              zone.evidence.unresponsive(),
              zone.stateMachine.losses(),
              (long) Math.ceil(returnInMs / MS_PER_SECOND),
              countOtherShardsUnreachable(zone),
              displacedJobs.countInZone(zone.index)));
    }
    return statuses;
  }
}
