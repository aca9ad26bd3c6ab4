package dev.windbend.zone;

import dev.windbend.machine.Machine;
import java.util.HashSet;
import java.util.Set;

/** One zone that a shard's leader monitors: its state, its return to use and its record. */
final class Zone {
  final int index;
  final String name;
  final ZoneStateMachine stateMachine;
  final ReturnRateLimiter returnRateLimiter;
  final ZoneRecordWrite recordWrite;
  ZoneEvidence evidence = new ZoneEvidence(0, 0, 0, true);

  /** Names of the machines of a returning zone that are open to new work again. */
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

  /** Returns whether every machine of the zone was open to new work at the last update. */
  boolean allMachinesUsable() {
    return allMachinesUsable;
  }

  /** Returns whether the zone is neither unreachable nor returning. */
  boolean inNormalOperation() {
    return state() == ZoneState.HEALTHY || state() == ZoneState.DEGRADED;
  }

  /**
   * Returns when the zone last became unreachable (monotonic clock, ms); 0 if it never did. After
   * {@link #restore}, this is when the zone entered the recorded state.
   */
  long lastLostMs() {
    return lastLostMs;
  }

  /** Returns when the zone entered its state (wall clock, ms). */
  long stateSinceWallMs() {
    return stateSinceWallMs;
  }

  /** Restores the state that the previous leader recorded, entered {@code stateAgeMs} ago. */
  void restore(ZoneRecord record, long stateAgeMs, long nowMs) {
    stateMachine.restore(record.state(), record.losses(), stateAgeMs, nowMs);
    stateSinceWallMs = record.stateSinceWallMs();
    lastLostMs = stateMachine.stateSinceMs();
  }

  /**
   * Called after a change of state. Resets the rate limiter, so a return starts with one machine.
   */
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
   * @return how many machines of a returning zone were reopened by this call
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

  /**
   * Returns whether a machine of a returning zone may get new work. A machine is reopened once its
   * worker has sent a heartbeat with the leader's token, at the rate that the limiter allows.
   */
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
