package dev.windbend.zone;

import dev.windbend.machine.Machine;
import java.util.HashSet;
import java.util.Set;

/** One zone that the owner of a shard looks after: its state, its return and its record. */
final class Zone {
  final int index;
  final String name;
  final ZoneStateMachine stateMachine;
  final ReturnRateLimiter returnRateLimiter;
  final ZoneRecordWrite recordWrite;
  ZoneEvidence evidence = new ZoneEvidence(0, 0, 0, true);

  /** Machines of a returning zone that are in use again, by name. */
  private final Set<String> readmittedMachines = new HashSet<>();

  private boolean allMachinesUsable;
  private long stateSinceWallMs;
  private long lastLostMs;

  Zone(int index, String name, ZonePolicy policy, ZoneRecordWrite recordWrite, long nowMs) {
    this.index = index;
    this.name = name;
    this.stateMachine = new ZoneStateMachine(policy, nowMs);
    this.returnRateLimiter = new ReturnRateLimiter(policy);
    this.recordWrite = recordWrite;
    returnRateLimiter.restart(nowMs);
  }

  ZoneState state() {
    return stateMachine.state();
  }

  /** Every machine is in use, as far as the state allows that. */
  boolean allMachinesUsable() {
    return allMachinesUsable;
  }

  /** Neither lost nor on its way back. */
  boolean inNormalOperation() {
    return state() == ZoneState.HEALTHY || state() == ZoneState.DEGRADED;
  }

  /** When it was lost last. */
  long lastLostMs() {
    return lastLostMs;
  }

  /** When it entered its state, by the time of day. */
  long stateSinceWallMs() {
    return stateSinceWallMs;
  }

  /** As a former owner left it, so long ago. */
  void restore(ZoneRecord record, long stateAgeMs, long nowMs) {
    stateMachine.restore(record.state(), record.losses(), stateAgeMs, nowMs);
    stateSinceWallMs = record.stateSinceWallMs();
    lastLostMs = stateMachine.stateSinceMs();
  }

  /** The state has changed: a return begins with one machine. */
  void recordStateChange(long wallMs, long nowMs) {
    readmittedMachines.clear();
    returnRateLimiter.restart(nowMs);
    stateSinceWallMs = wallMs;
    if (state() == ZoneState.UNREACHABLE) {
      lastLostMs = nowMs;
    }
  }

  /**
   * Opens or closes the zone's machines to new work.
   *
   * @return how many were taken back just now
   */
  int updateUsableMachines(Iterable<Machine> machines, long nowMs) {
    if (state() != ZoneState.RETURNING) {
      boolean unreachable = state() == ZoneState.UNREACHABLE;
      machines.forEach(machine -> machine.setZoneOpen(!unreachable));
      allMachinesUsable = !unreachable;
      return 0;
    }
    if (evidence.lost() > 0) {
      returnRateLimiter.restart(nowMs);
    } else {
      returnRateLimiter.advance(nowMs);
    }
    int readmittedBefore = readmittedMachines.size();
    allMachinesUsable = true;
    for (Machine machine : machines) {
      machine.setZoneOpen(tryReadmit(machine));
      allMachinesUsable &= !machine.zoneClosed();
    }
    return readmittedMachines.size() - readmittedBefore;
  }

  /** Only a machine that has reported under our token, and as fast as the ramp allows. */
  private boolean tryReadmit(Machine machine) {
    if (readmittedMachines.contains(machine.name())) {
      return true;
    }
    if (!machine.confirmedUnderToken() || returnRateLimiter.availableMachines() < 1) {
      return false;
    }
    returnRateLimiter.consume(1);
    readmittedMachines.add(machine.name());
    return true;
  }
}
