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
  private static final long RECORD_GAP_MS = 5_000;

  /** So many machines are given up at once, so that a more urgent one need not wait for many. */
  private static final int MOST_LEAVING = 100;

  /** A controller that hears its own zone alone can't tell that so many others are lost. */
  private static final int OTHERS_LOST = 2;

  private static final int FEWEST_ZONES = 2;

  private static final double MS = 1_000;

  private final Place place;
  private final ZonePolicy policy;
  private final EventLoop loop;
  private final Fleet fleet;
  private final MachineHealth health;
  private final JobTimes times;
  private final Records records;
  private final ZoneMetrics metrics;
  private final Displacements displacements;
  private final EvacuationTasks evacuationTasks;
  private final Map<Integer, Zone> zones = new TreeMap<>();
  private final long leaseMs;
  private long recordedMs;

  /** What is known of a job's times. */
  public interface JobTimes {
    /** When the job is due (steady clock). */
    long dueMs(Job job, long nowMs);

    /** How long a task of it runs, as estimated. */
    long estimateMs(Job job);

    /** How long the machines it may run on take to boot, at most. */
    long bootMs();
  }

  /**
   * The state service, as the monitor needs it.
   *
   * @param stored reads this node's copy of a key
   * @param touch has a changed record written
   */
  public record Records(Function<String, VersionedValue> stored, Consumer<PendingWrite> touch) {}

  /**
   * Where the monitor stands.
   *
   * @param ownZone the zone of this controller
   */
  public record Place(int shard, int shards, String ownZone, double reportS, double leaseS) {}

  public ZoneMonitor(
      Place place,
      ZonePolicy policy,
      EventLoop loop,
      Fleet fleet,
      MachineHealth health,
      JobRegistry jobs,
      JobTimes times,
      Records records,
      ZoneMetrics metrics) {
    this.place = place;
    this.policy = policy;
    this.loop = loop;
    this.fleet = fleet;
    this.health = health;
    this.times = times;
    this.records = records;
    this.metrics = metrics;
    this.displacements = new Displacements(jobs, metrics);
    this.evacuationTasks = new EvacuationTasks(times);
    this.leaseMs = (long) (MS * (place.leaseS() + 2 * place.reportS()));
    this.recordedMs = loop.nowMs();
  }

  /**
   * Goes on where a former owner ended. With less than two zones to look after there is no
   * elsewhere: then no zone is closed, whatever its record says, and machines are judged one by
   * one.
   */
  public void takeOver(NameIndex zoneNames) {
    long now = loop.nowMs();
    for (int index = 0; index < zoneNames.size(); index++) {
      String name = zoneNames.name(index);
      if (policy.watches(name)) {
        zones.put(index, restored(index, name, now));
      }
    }
    if (zones.size() < FEWEST_ZONES) {
      zones.clear();
    }
  }

  private Zone restored(int index, String name, long now) {
    String key = ZoneRecord.key(place.shard(), name);
    VersionedValue stored = records.stored().apply(key);
    ZoneRecord record = ZoneRecord.read(stored);
    Zone zone = new Zone(index, name, policy, new ZoneRecordWrite(key, record, stored), now);
    if (record != null) {
      zone.restore(record, loop.wallMs() - record.sinceWallMs(), now);
      record.displaced().forEach(uid -> displacements.restore(uid, index, zone.lostMs()));
      LOG.info("shard {}: zone {} was {} before", place.shard(), name, zone.state().label());
    }
    return zone;
  }

  /**
   * Looks at all machines once.
   *
   * @param sureSinceMs since when this owner has been able to hear and answer
   */
  public void look(long now, long sureSinceMs) {
    if (zones.isEmpty()) {
      return;
    }
    Map<Integer, List<Machine>> machines = machinesByZone();
    weighEvidence(machines, now, sureSinceMs);
    for (Zone zone : zones.values()) {
      List<Machine> own = machines.getOrDefault(zone.index, List.of());
      ZoneState before = zone.state();
      if (zone.tracker.observe(zone.evidence, zone.allBack(), now)) {
        changed(zone, before, now);
      }
      metrics.takenBack(zone.admit(own, now));
      if (zone.state() == ZoneState.UNREACHABLE) {
        evacuate(zone, own, now, sureSinceMs);
      }
    }
    displacements.update(now);
    if (now - recordedMs >= RECORD_GAP_MS) {
      recordedMs = now;
      zones.values().forEach(this::record);
    }
  }

  private Map<Integer, List<Machine>> machinesByZone() {
    Map<Integer, List<Machine>> all = new TreeMap<>();
    for (Machine m : fleet.machines()) {
      if (!m.terminating()) {
        all.computeIfAbsent(m.zone(), zone -> new ArrayList<>()).add(m);
      }
    }
    return all;
  }

  /** A zone is judged only from an elsewhere that is heard well. */
  private void weighEvidence(Map<Integer, List<Machine>> machines, long now, long sureSinceMs) {
    int heard = 0;
    int lost = 0;
    int lostZones = 0;
    boolean othersHeard = false;
    for (Zone zone : zones.values()) {
      zone.evidence = count(machines.getOrDefault(zone.index, List.of()), now, sureSinceMs);
      heard += zone.evidence.heard();
      lost += zone.evidence.lost();
      if (!zone.name.equals(place.ownZone())) {
        othersHeard |= zone.evidence.heard() > 0;
        lostZones += zone.evidence.zoneLost() ? 1 : 0;
      }
    }
    boolean ownAlone = !othersHeard && lostZones >= OTHERS_LOST;
    for (Zone zone : zones.values()) {
      ZoneEvidence e = zone.evidence;
      boolean elsewhereHeard = heard - e.heard() > lost - e.lost();
      zone.evidence =
          new ZoneEvidence(e.heard(), e.silent(), e.deaf(), ownAlone || !elsewhereHeard);
    }
  }

  private ZoneEvidence count(List<Machine> machines, long now, long sureSinceMs) {
    int heard = 0;
    int silent = 0;
    int deaf = 0;
    for (Machine m : machines) {
      switch (health.condition(m, now, sureSinceMs)) {
        case RESPONSIVE -> heard++;
        case SILENT -> silent++;
        case UNRESPONSIVE -> deaf++;
        default -> {
          // it boots, and tells nothing
        }
      }
    }
    return new ZoneEvidence(heard, silent, deaf, false);
  }

  private void changed(Zone zone, ZoneState before, long now) {
    ZoneState after = zone.state();
    if (before != after) {
      LOG.info(
          "shard {}: zone {} {} -> {} ({}; lost on record of {} of {} other shards), losses {}",
          place.shard(),
          zone.name,
          before.label(),
          after.label(),
          zone.evidence,
          othersLost(zone),
          place.shards() - 1,
          zone.tracker.losses());
      zone.entered(loop.wallMs(), now);
      if (after == ZoneState.UNREACHABLE) {
        metrics.lost(before == ZoneState.RETURNING);
      }
    }
    record(zone);
  }

  /** Nothing is on record before the first loss and once its backoff has decayed. */
  private void record(Zone zone) {
    List<String> displaced = displacements.recorded(zone.index);
    boolean nothing = zone.calm() && zone.tracker.losses() == 0 && displaced.isEmpty();
    zone.write.want(
        nothing
            ? null
            : new ZoneRecord(zone.state(), zone.enteredWallMs(), zone.tracker.losses(), displaced));
    if (zone.write.dirty()) {
      records.touch().accept(zone.write);
    }
  }

  private int othersLost(Zone zone) {
    int lost = 0;
    for (int other = 0; other < place.shards(); other++) {
      ZoneRecord record = ZoneRecord.read(records.stored().apply(ZoneRecord.key(other, zone.name)));
      boolean says = record != null && record.state() == ZoneState.UNREACHABLE;
      lost += other != place.shard() && says ? 1 : 0;
    }
    return lost;
  }

  // ---- evacuation

  private void evacuate(Zone zone, List<Machine> machines, long now, long sureSinceMs) {
    int room = MOST_LEAVING - fleet.terminatingCount();
    if (room <= 0) {
      return;
    }
    Map<String, Machine> byName = new TreeMap<>();
    List<EvacuationPlan.Lost> lost = new ArrayList<>();
    for (Machine m : machines) {
      MachineHealth.Condition condition = health.condition(m, now, sureSinceMs);
      boolean deaf = condition == MachineHealth.Condition.UNRESPONSIVE;
      if (deaf || condition == MachineHealth.Condition.SILENT) {
        long lastMs = deaf ? zone.tracker.sinceMs() : Math.max(m.lastHeartbeatMs(), sureSinceMs);
        byName.put(m.name(), m);
        lost.add(
            new EvacuationPlan.Lost(
                m.name(), lastMs + leaseMs, evacuationTasks.on(m, zone.name, now)));
      }
    }
    List<Machine> leaving =
        EvacuationPlan.giveUp(lost, times.bootMs(), now).stream()
            .limit(room)
            .map(l -> byName.get(l.machine()))
            .toList();
    if (!leaving.isEmpty()) {
      metrics.evacuated(leaving.size());
      fleet.scaleIn(leaving, "its zone " + zone.name + " is unreachable");
    }
  }

  /** The cloud has confirmed that the machine is gone; its tasks are still noted on it. */
  public void gone(Machine m) {
    Zone zone = zones.get(m.zone());
    if (zone != null && !zone.calm()) {
      for (Placement p : m.tasks().values()) {
        displacements.add(p.job(), zone.index, zone.lostMs());
      }
    }
  }

  // ---- what planning, renting and machine health ask

  @Override
  public int scaleOutLimit(int zone) {
    Zone asked = zones.get(zone);
    if (asked == null) {
      return Integer.MAX_VALUE;
    }
    return switch (asked.state()) {
      case HEALTHY, DEGRADED -> Integer.MAX_VALUE;
      case RETURNING -> asked.ramp.available();
      case UNREACHABLE -> 0;
    };
  }

  @Override
  public void scaledOut(int zone, int machines) {
    Zone asked = zones.get(zone);
    if (asked != null && asked.state() == ZoneState.RETURNING) {
      asked.ramp.take(machines);
    }
  }

  @Override
  public boolean evacuates(int zone) {
    Zone asked = zones.get(zone);
    return asked != null && asked.state() == ZoneState.UNREACHABLE;
  }

  @Override
  public boolean displaced(Job job) {
    return displacements.contains(job);
  }

  @Override
  public boolean unreachable(String name) {
    return zones.values().stream()
        .anyMatch(z -> z.name.equals(name) && z.state() == ZoneState.UNREACHABLE);
  }

  /** How all zones stand, for operators. */
  public List<ZoneStatus> status() {
    long now = loop.nowMs();
    List<ZoneStatus> all = new ArrayList<>();
    for (Zone zone : zones.values()) {
      boolean lost = zone.state() == ZoneState.UNREACHABLE;
      long returnMs = lost ? Math.max(0, zone.tracker.returnNotBeforeMs() - now) : 0;
      all.add(
          new ZoneStatus(
              place.shard(),
              zone.name,
              zone.state(),
              (long) ((now - zone.tracker.sinceMs()) / MS),
              zone.evidence.heard(),
              zone.evidence.silent(),
              zone.evidence.deaf(),
              zone.tracker.losses(),
              (long) Math.ceil(returnMs / MS),
              othersLost(zone),
              displacements.count(zone.index)));
    }
    return all;
  }
}
