package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.job.JobRegistry;
import dev.windbend.job.Placement;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;

/** Which job of a shard has waited longest for room, and what for: told to operators. */
record OldestWaitingJob(String uid, long ageS, String reason) {

  /** Null: none waits. */
  static OldestWaitingJob find(
      JobRegistry board, Fleet fleet, Facts facts, long nowMs, long wallMs) {
    Job oldest = null;
    for (Job j : board.all()) {
      if (j.waitingCount() > 0 && (oldest == null || j.submittedWallMs < oldest.submittedWallMs)) {
        oldest = j;
      }
    }
    if (oldest == null) {
      return null;
    }
    double used = 0;
    double usedCards = 0;
    for (Job j : board.all()) {
      if (j.team == oldest.team) {
        used += j.placements().size() * j.spec.cores();
        usedCards += j.placements().size() * j.spec.cards();
      }
    }
    Facts.TeamFact team = facts.teams().get(oldest.team);
    int booting = 0;
    int unsure = 0;
    boolean room = false;
    for (Machine m : fleet.machines()) {
      booting += m.seenMs < 0 ? 1 : 0;
      unsure += m.seenMs >= 0 && !m.usable(nowMs) ? 1 : 0;
      room |= m.usable(nowMs) && fits(oldest, m);
    }
    int asked = fleet.pending().stream().mapToInt(Fleet.Pending::count).sum();
    boolean atLimit =
        used + oldest.spec.cores() > team.coresMost() + 1e-6
            || usedCards + oldest.spec.cards() > team.cardsMost() + 1e-6;
    return new OldestWaitingJob(
        oldest.spec.uid(),
        (wallMs - oldest.submittedWallMs) / 1000,
        reason(
            oldest.notBeforeMs - nowMs,
            atLimit ? used : -1,
            team.coresMost(),
            room,
            booting,
            asked,
            unsure,
            fleet.refusedSome()));
  }

  private static boolean fits(Job j, Machine m) {
    double cores = m.type.cores();
    double cards = m.type.cards();
    double ram = m.type.ram();
    for (Placement p : m.tasks.values()) {
      cores -= p.job.spec.cores();
      cards -= p.job.spec.cards();
      ram -= p.job.spec.ram();
    }
    return cores + 1e-6 >= j.spec.cores()
        && cards + 1e-6 >= j.spec.cards()
        && ram + 1e-6 >= j.spec.ram()
        && (j.spec.spot() || !m.spot);
  }

  /**
   * @param backOffMs until it may be tried again, as its tasks fail everywhere; not above 0: now
   * @param usedAtLimit what its team uses, if another task would be over the limit; else -1
   */
  static String reason(
      long backOffMs,
      double usedAtLimit,
      double limit,
      boolean room,
      int booting,
      int asked,
      int unsure,
      boolean refused) {
    if (backOffMs > 0) {
      return "its tasks fail on every machine, tried again in " + (backOffMs + 999) / 1000 + " s";
    }
    if (usedAtLimit >= 0) {
      return "its team's limit, of which %.0f of %.0f cores are used".formatted(usedAtLimit, limit);
    }
    if (room) {
      return "its turn: there is room, kept for work that is due first or by its zone and spread";
    }
    StringBuilder s = new StringBuilder("room");
    if (booting > 0) {
      s.append(", ").append(booting).append(" machines boot");
    }
    if (asked > 0) {
      s.append(", ").append(asked).append(" are asked of the cloud");
    }
    if (unsure > 0) {
      s.append(", ").append(unsure).append(" do not report, leave or were just taken over");
    }
    if (refused) {
      s.append(", the cloud has no more of some kind");
    }
    return s.toString();
  }
}
