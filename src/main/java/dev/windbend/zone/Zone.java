package dev.windbend.zone;

import dev.windbend.machine.Machine;
import java.util.HashSet;
import java.util.Set;

/** One zone that the owner of a shard looks after: its state, its return and its record. */
final class Zone {
  final int index;
  final String name;
  final ZoneTracker tracker;
  final ReturnRamp ramp;
  final ZoneRecordWrite write;
  ZoneEvidence evidence = new ZoneEvidence(0, 0, 0, true);

  /** Machines of a returning zone that are in use again, by name. */
  private final Set<String> takenBack = new HashSet<>();

  private boolean allBack;
  private long enteredWallMs;
  private long lostMs;

  Zone(int index, String name, ZonePolicy policy, ZoneRecordWrite write, long nowMs) {
    this.index = index;
    this.name = name;
    this.tracker = new ZoneTracker(policy, nowMs);
    this.ramp = new ReturnRamp(policy);
    this.write = write;
    ramp.restart(nowMs);
  }

  ZoneState state() {
    return tracker.state();
  }

  /** Every machine is in use, as far as the state allows that. */
  boolean allBack() {
    return allBack;
  }

  /** Neither lost nor on its way back. */
  boolean calm() {
    return state() == ZoneState.HEALTHY || state() == ZoneState.DEGRADED;
  }

  /** When it was lost last. */
  long lostMs() {
    return lostMs;
  }

  /** When it entered its state, by the time of day. */
  long enteredWallMs() {
    return enteredWallMs;
  }

  /** As a former owner left it, so long ago. */
  void restore(ZoneRecord record, long agoMs, long nowMs) {
    tracker.restore(record.state(), record.losses(), agoMs, nowMs);
    enteredWallMs = record.sinceWallMs();
    lostMs = tracker.sinceMs();
  }

  /** The state has changed: a return begins with one machine. */
  void entered(long wallMs, long nowMs) {
    takenBack.clear();
    ramp.restart(nowMs);
    enteredWallMs = wallMs;
    if (state() == ZoneState.UNREACHABLE) {
      lostMs = nowMs;
    }
  }

  /**
   * Opens or closes the zone's machines to new work.
   *
   * @return how many were taken back just now
   */
  int admit(Iterable<Machine> machines, long nowMs) {
    if (state() != ZoneState.RETURNING) {
      boolean closed = state() == ZoneState.UNREACHABLE;
      machines.forEach(m -> m.setZoneOpen(!closed));
      allBack = !closed;
      return 0;
    }
    if (evidence.lost() > 0) {
      ramp.restart(nowMs);
    } else {
      ramp.advance(nowMs);
    }
    int before = takenBack.size();
    allBack = true;
    for (Machine m : machines) {
      m.setZoneOpen(mayBeUsed(m));
      allBack &= !m.zoneClosed();
    }
    return takenBack.size() - before;
  }

  /** Only a machine that has reported under our token, and as fast as the ramp allows. */
  private boolean mayBeUsed(Machine m) {
    if (takenBack.contains(m.name())) {
      return true;
    }
    if (!m.confirmedUnderToken() || ramp.available() < 1) {
      return false;
    }
    ramp.take(1);
    takenBack.add(m.name());
    return true;
  }
}
