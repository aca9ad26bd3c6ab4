package dev.windbend.machine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntPredicate;

/** Finds machines of a shard that are silent, deaf, never came up, or are due to leave. */
public final class MachineHealth {
  private static final long RECALL_SLACK_MS = 1_000;

  /** A living machine that hears us reports at least so often, in intervals. */
  private static final double MISSED_REPORTS = 1.3;

  private static final double BOOT_PATIENCE = 2.5;
  private static final long SHORTEST_CHARGE_MS = 60_000;

  /**
   * A worker that has lost an answer waits 4 s for it and 1 s more, then asks a node that sends it
   * on after up to half a second. One that is silent for longer than that and its interval is gone
   * or hangs.
   */
  private static final long LOST_ANSWER_MS = 6_500;

  /** Promised machines go together: each handing over is a change in the state service. */
  private static final long LEND_GAP_MS = 2_000;

  private static final int FEW = 3;

  /** One lost answer alone says nothing. */
  private static final int UNHEARD = 2;

  /** How a machine stands, as its reports tell. */
  public enum Condition {
    /** It has not reported yet, and need not have. */
    BOOTING,
    /** It reports, and shows the effect of our answers. */
    HEARD,
    /** A report is overdue. */
    SILENT,
    /** It reports, but shows no effect of our answers. */
    DEAF
  }

  private final Fleet fleet;
  private final int zones;
  private final long reportMs;
  private final long leaseMs;
  private final long silentMs;

  private long lentMs = Long.MIN_VALUE / 2;

  /** When each zone last looked cut off. */
  private final long[] cutMs;

  public MachineHealth(Fleet fleet, int zones, double reportS, double leaseS) {
    this.fleet = fleet;
    this.zones = zones;
    this.reportMs = (long) (1000 * reportS);
    this.leaseMs = (long) (1000 * leaseS);
    this.cutMs = new long[zones];
    Arrays.fill(cutMs, Long.MIN_VALUE / 2);
    this.silentMs = (long) (1250 * reportS) + LOST_ANSWER_MS;
  }

  /** How a machine stands now. */
  public Condition condition(Machine m, long now, long sureSinceMs) {
    if (m.lastHeartbeatMs() < 0) {
      // One that was taken over has had its time to find us; another may still boot.
      boolean overdue = m.inherited() && now - Math.max(sureSinceMs, m.requestedMs()) > silentMs;
      return overdue ? Condition.SILENT : Condition.BOOTING;
    }
    if (now - Math.max(m.lastHeartbeatMs(), sureSinceMs) > MISSED_REPORTS * reportMs) {
      return Condition.SILENT;
    }
    return m.missedResponses() >= UNHEARD ? Condition.DEAF : Condition.HEARD;
  }

  /**
   * Looks at all machines once, and gives back or lends those that are to go.
   *
   * @param evacuated zones whose lost machines are given back in the order of their evacuation
   * @param sureSinceMs since when this owner has been able to hear and answer; the machines'
   *     silence counts from then
   */
  public void look(long now, long sureSinceMs, IntPredicate evacuated) {
    List<Machine> silent = new ArrayList<>();
    List<Machine> deaf = new ArrayList<>();
    int[] heard = new int[zones];
    int[] missed = new int[zones];
    int talking = 0;
    Map<Integer, List<Machine>> promised = new TreeMap<>();
    for (Machine m : List.copyOf(fleet.machines())) {
      if (m.returning()) {
        continue;
      }
      boolean ownRule = !evacuated.test(m.zone());
      if (m.lastHeartbeatMs() < 0) {
        neverSeen(m, now, sureSinceMs, ownRule);
        continue;
      }
      long quiet = now - Math.max(m.lastHeartbeatMs(), sureSinceMs);
      if (quiet > silentMs && ownRule) {
        silent.add(m);
      }
      if (quiet > MISSED_REPORTS * reportMs) {
        missed[m.zone()]++;
      } else {
        heard[m.zone()]++;
        talking++;
      }
      if (m.missedResponses() >= UNHEARD && ownRule) {
        deaf.add(m);
      }
      boolean empty = m.cordoned() && m.tasks().isEmpty();
      if ((m.recallMs() >= 0 && now > m.recallMs() + RECALL_SLACK_MS)
          || (empty && m.promisedTo() < 0)) {
        fleet.scaleIn(m, "drained");
      } else if (empty && m.confirmedUnderToken() && m.recorded()) {
        promised.computeIfAbsent(m.promisedTo(), k -> new ArrayList<>()).add(m);
      }
    }
    if (!promised.isEmpty() && now - lentMs >= LEND_GAP_MS) {
      lentMs = now;
      promised.forEach((to, machines) -> fleet.transfer(machines, to));
    }
    for (int z = 0; z < zones; z++) {
      // Nearly all of a zone at once is a cut; a wave of machines taken back is less.
      if (missed[z] > 1 && missed[z] > 2 * heard[z]) {
        cutMs[z] = now;
      }
    }
    for (Machine m : silent) {
      // Behind a cut the tasks go on, so they get their whole lease; after it, time to find us.
      long quiet = now - Math.max(m.lastHeartbeatMs(), sureSinceMs);
      boolean cut = cutMs[m.zone()] == now;
      if (cut ? quiet > leaseMs + 2 * reportMs : now - cutMs[m.zone()] > silentMs) {
        fleet.scaleIn(m, "silent");
      }
    }
    // Many at once: the fault is ours, as when this process is slow.
    if (deaf.size() == 1 || 3 * deaf.size() < talking) {
      deaf.forEach(m -> fleet.scaleIn(m, "does not hear us"));
    }
  }

  /**
   * Machines were heard before, and for longer than a lost answer and an interval explain this node
   * has heard none at all: what is cut off is the node. A few may go at once by chance.
   *
   * @param heardMs when any worker was heard last, of this shard or another
   */
  public boolean lostWorkers(long now, long heardMs) {
    long seen = fleet.machines().stream().filter(m -> m.lastHeartbeatMs() >= 0).count();
    return seen >= FEW && now - heardMs > Math.max(2 * reportMs, LOST_ANSWER_MS);
  }

  private void neverSeen(Machine m, long now, long sureSinceMs, boolean ownRule) {
    // Inherited ones count from the takeover, so they get their time to find us.
    long patience = (long) Math.max(SHORTEST_CHARGE_MS, 1000 * BOOT_PATIENCE * m.type().bootS());
    if (now - m.requestedMs() > patience) {
      fleet.scaleIn(m, "never came up");
    } else if (ownRule
        && !m.tasks().isEmpty()
        && now - Math.max(sureSinceMs, m.requestedMs()) > 2 * silentMs) {
      fleet.scaleIn(m, "silent since the takeover");
    }
  }
}
