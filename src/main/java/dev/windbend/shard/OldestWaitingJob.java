package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.job.JobRegistry;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.machine.TaskRequirements;
import dev.windbend.zone.ZoneGate;

/** Which job of a shard has waited longest for room, and what for: told to operators. */
record OldestWaitingJob(String uid, long ageS, String reason) {

  /** Null: none waits. */
  static OldestWaitingJob find(
      JobRegistry board,
      Fleet fleet,
      DeploymentSpec facts,
      OverdueJobs overdueJobs,
      ZoneGate zones,
      long nowMs,
      long wallMs) {
    Job oldest = null;
    for (Job j : board.all()) {
      if (j.waitingCount() > 0
          && (oldest == null || j.submittedWallMs() < oldest.submittedWallMs())) {
        oldest = j;
      }
    }
    if (oldest == null) {
      return null;
    }
    long ageS = (wallMs - oldest.submittedWallMs()) / 1000;
    if (oldest.spec().zone() != null && zones.unreachable(oldest.spec().zone())) {
      String reason = "its zone " + oldest.spec().zone() + ", which is unreachable";
      return new OldestWaitingJob(oldest.spec().uid(), ageS, reason);
    }
    int teams = facts.teams().size();
    double used = TeamUsage.cores(board.all(), teams)[oldest.team()];
    double usedGpus = TeamUsage.gpus(board.all(), teams)[oldest.team()];
    TaskRequirements task = overdueJobs.requirements(oldest);
    DeploymentSpec.TeamQuota team = facts.teams().get(oldest.team());
    int booting = 0;
    int unsure = 0;
    boolean room = false;
    for (Machine m : fleet.machines()) {
      booting += m.lastHeartbeatMs() < 0 ? 1 : 0;
      unsure += m.lastHeartbeatMs() >= 0 && !m.usable(nowMs) ? 1 : 0;
      room |= m.usable(nowMs) && task.hasRoomOn(m);
    }
    int asked = fleet.pending().stream().mapToInt(Fleet.Pending::count).sum();
    boolean atLimit =
        used + oldest.spec().cores() > team.maxCores() + 1e-6
            || usedGpus + oldest.spec().gpus() > team.maxGpus() + 1e-6;
    return new OldestWaitingJob(
        oldest.spec().uid(),
        ageS,
        reason(
            oldest.notBeforeMs() - nowMs,
            atLimit ? used : -1,
            team.maxCores(),
            room,
            booting,
            asked,
            unsure,
            fleet.refusedSome()));
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
