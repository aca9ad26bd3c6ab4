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
 * A shard's view of the zones: from the reports of its machines it tells whether a zone is lost,
 * gives up the machines of a lost one in order of priority, and takes a returning one back
 * gradually. It proves nothing: what may start again is decided by proof alone, as everywhere.
 */
public final class ZoneMonitor implements ZoneAvailability {
  private static final Logger LOG = LoggerFactory.getLogger(ZoneMonitor.class);

  /** The record's list of displaced jobs is renewed at most so often. */
  private static final long RECORD_REFRESH_INTERVAL_MS = 5_000;

  /** So many machines are given up at once, so that a more urgent one need not wait for many. */
  private static final int MAX_TERMINATING_MACHINES = 100;

  /** A controller that hears its own zone alone can't tell that so many others are lost. */
  private static final int MIN_LOST_ZONES_FOR_ISOLATION = 2;

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

  /** What is known of a job's times. */
  public interface JobTimes {
    /** When the job is due (steady clock). */
    long dueMs(Job job, long nowMs);

    /** How long a task of it runs, as estimated. */
    long estimatedRunTimeMs(Job job);

    /** How long the machines it may run on take to boot, at most. */
    long maxBootMs();
  }

  /**
   * The state service, as the monitor needs it.
   *
   * @param lookup reads this node's copy of a key
   * @param enqueueWrite has a changed record written
   */
  public record RecordStore(
      Function<String, VersionedValue> lookup, Consumer<PendingWrite> enqueueWrite) {}

  /**
   * Where the monitor stands.
   *
   * @param ownZone the zone of this controller
   */
  public record Config(
      int shard,
      int shardCount,
      String ownZone,
      double heartbeatIntervalSeconds,
      double leaseSeconds) {}

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
   * Goes on where a former owner ended. With less than two zones to look after there is no
   * elsewhere: then no zone is closed, whatever its record says, and machines are judged one by
   * one.
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
      LOG.info("shard {}: zone {} was {} before", config.shard(), name, zone.state().label());
    }
    return zone;
  }

  /**
   * Looks at all machines once.
   *
   * @param reachableSinceMs since when this owner has been able to hear and answer
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

  /** A zone is judged only from an elsewhere that is heard well. */
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
          // it boots, and tells nothing
        }
      }
    }
    return new ZoneEvidence(responsive, silent, unresponsive, false);
  }

  private void handleChange(Zone zone, ZoneState previousState, long nowMs) {
    ZoneState newState = zone.state();
    if (previousState != newState) {
      LOG.info(
          "shard {}: zone {} {} -> {} ({}; lost on record of {} of {} other shards), losses {}",
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

  /** Nothing is on record before the first loss and once its backoff has decayed. */
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
      fleet.scaleIn(toScaleIn, "its zone " + zone.name + " is unreachable");
    }
  }

  /** The cloud has confirmed that the machine is gone; its tasks are still noted on it. */
  public void machineTerminated(Machine machine) {
    Zone zone = zones.get(machine.zone());
    if (zone != null && !zone.inNormalOperation()) {
      for (Placement placement : machine.tasks().values()) {
        displacedJobs.add(placement.job(), zone.index, zone.lastLostMs());
      }
    }
  }

  // ---- what planning, renting and machine health ask

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

  /** How all zones stand, for operators. */
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
