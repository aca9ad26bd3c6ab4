package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.job.JobRegistry;
import dev.windbend.job.Placement;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineType;
import dev.windbend.machine.MachineTypeCatalog;
import dev.windbend.peer.MachineTransferMessages;
import dev.windbend.plan.Planner;
import dev.windbend.plan.SchedulingDecision;
import dev.windbend.plan.Snapshot;
import dev.windbend.runtime.EventLoop;
import dev.windbend.worker.HeartbeatHandler;
import dev.windbend.zone.ZoneGate;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A shard's planning rounds: what is goes into a snapshot, and what it wants is carried out. */
final class SchedulingLoop implements HeartbeatHandler.SchedulingTrigger {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingLoop.class);
  private static final long GAP_MS = 150;
  private static final long LONGEST_GAP_MS = 2_000;

  /** Rounds on events take no more of the processor than one part in so many. */
  private static final int COST_PART = 15;

  /** One round in so many serves the long overdue first. */
  private static final int OLDEST_FIRST = 4;

  private static final long RENT_GAP_MS = 2_000;

  private static final int MOST_PENDING = 8;

  private final EventLoop loop;
  private final MachineTypeCatalog catalog;
  private final Policy policy;
  private final SnapshotBuilder snapshots;
  private final OverdueJobs overdueJobs;
  private final JobRegistry board;
  private final Fleet fleet;
  private final MachineTransfers loans;
  private final long token;
  private final BooleanSupplier mayAct;
  private final FailoverRampUp start;
  private final ZoneGate zones;
  private long lastMs;
  private long costMs;
  private long lastRentMs = Long.MIN_VALUE / 2;
  private long count;
  private boolean due;

  /** The last round left jobs out. */
  private boolean partial;

  SchedulingLoop(
      EventLoop loop,
      MachineTypeCatalog catalog,
      Policy policy,
      SnapshotBuilder snapshots,
      OverdueJobs overdueJobs,
      JobRegistry board,
      Fleet fleet,
      MachineTransfers loans,
      long token,
      FailoverRampUp start,
      ZoneGate zones,
      BooleanSupplier mayAct) {
    this.token = token;
    this.start = start;
    this.zones = zones;
    this.loop = loop;
    this.catalog = catalog;
    this.policy = policy;
    this.snapshots = snapshots;
    this.overdueJobs = overdueJobs;
    this.board = board;
    this.fleet = fleet;
    this.loans = loans;
    this.mayAct = mayAct;
    this.lastMs = loop.nowMs();
  }

  @Override
  public void requestCycle() {
    if (!due) {
      due = true;
      if (policy.cyclesOnEvents()) {
        loop.after(GAP_MS, this::onEvent);
      }
    }
  }

  @Override
  public void runCycleNow() {
    if (!policy.cyclesOnEvents() || loop.nowMs() - lastMs < gapMs()) {
      requestCycle();
    } else {
      round();
    }
  }

  /** Events are joined when rounds cost much, unless the last round left jobs out. */
  private long gapMs() {
    long parts = partial ? 1 : COST_PART;
    return Math.min(LONGEST_GAP_MS, Math.max(GAP_MS, parts * costMs));
  }

  private void onEvent() {
    long wait = gapMs() - (loop.nowMs() - lastMs);
    if (due && wait > 0) {
      loop.after(wait, this::onEvent);
    } else if (due) {
      round();
    }
  }

  /** Called again and again: the period's round, if none has been. */
  void tick(long everyMs) {
    long now = loop.nowMs();
    long most = policy.cyclesOnEvents() ? Math.max(everyMs, gapMs()) : policy.cyclePeriodMs();
    if (now - lastMs >= most) {
      round();
    }
  }

  long costMs() {
    return costMs;
  }

  private void round() {
    due = false;
    if (!mayAct.getAsBoolean() || !start.mayPlan(this::allHeard)) {
      return;
    }
    long now = loop.nowMs();
    lastMs = now;
    count++;
    List<Job> waiting = waitingJobs();
    List<Job> works = start.next(waiting);
    partial = works.size() < waiting.size();
    List<Machine> rooms = machinesToPlanOn(now);
    List<Snapshot.InstanceOffer> offers = offers();
    List<List<Placement>> running = new ArrayList<>();
    SchedulingDecision wanted =
        Planner.plan(
            snapshots.build(now, count % OLDEST_FIRST == 0, works, rooms, offers, running));
    carryOut(wanted, now, works, rooms, running);
    if (partial) {
      // Machines that look idle may be needed by jobs that this round left out.
      loans.setIdleMachines(List.of());
    } else {
      spare(wanted.spare(), rooms);
    }
    getMachines(wanted, offers, now);
    if (!partial) {
      wanted.giveBack().forEach(i -> fleet.giveBack(rooms.get(i), "idle at the end of its block"));
    }
    costMs = loop.nowMs() - now;
    if (partial) {
      requestCycle();
    }
  }

  private List<Job> waitingJobs() {
    List<Job> waiting = new ArrayList<>();
    for (Job j : board.all()) {
      if (j.waitingCount() > 0) {
        waiting.add(j);
      }
    }
    return waiting;
  }

  private List<Machine> machinesToPlanOn(long now) {
    List<Machine> rooms = new ArrayList<>();
    for (Machine m : fleet.machines()) {
      // One that boots in a zone that is taken back is waited for, and rented only once.
      boolean open = !m.zoneClosed() || (m.lastHeartbeatMs() < 0 && !zones.evacuates(m.zone()));
      if (open
          && !m.returning()
          && !m.cordoned()
          && m.missedResponses() == 0
          && now >= m.startsRefusedUntilMs()) {
        rooms.add(m);
      }
    }
    return rooms;
  }

  /** Asks the other shards for machines that are lacking, and rents what they don't give. */
  private void getMachines(
      SchedulingDecision wanted, List<Snapshot.InstanceOffer> offers, long now) {
    // Looking for overdue jobs goes over all jobs and machines: only when others may be asked.
    boolean mayAsk = loans.mayRequest();
    MachineTransferMessages.Overdue overdue =
        mayAsk && loans.mayRequestForOverdue() ? overdueJobs.tasksWithoutRoom(now) : null;
    if (mayAsk && (wanted.shortCores() > 0 || overdue != null)) {
      loans.request(
          wanted.shortCores(),
          catalog.largestCores(),
          !fleet.refusedSome(),
          overdue,
          given -> {
            if (mayAct.getAsBoolean()) {
              rent(wanted.rentals(), offers, given);
            }
          });
    } else if (!loans.requestPending()) {
      rent(wanted.rentals(), offers, 0);
    }
  }

  private boolean allHeard() {
    for (Machine m : fleet.machines()) {
      if (m.inherited() && !m.confirmedUnderToken()) {
        return false;
      }
    }
    return true;
  }

  private void carryOut(
      SchedulingDecision wanted,
      long now,
      List<Job> works,
      List<Machine> rooms,
      List<List<Placement>> running) {
    for (SchedulingDecision.Stop stop : wanted.stops()) {
      Placement p = running.get(stop.room()).get(stop.running());
      LOG.info("stopping {} on {} to make room", p.taskName(), p.machineName());
      p.stop(0);
    }
    Set<Job> changed = new LinkedHashSet<>();
    for (SchedulingDecision.Place place : wanted.places()) {
      Job job = works.get(place.work());
      Machine m = rooms.get(place.room());
      m.add(job.place(job.nextWaiting(), m.name(), now, token, count));
      changed.add(job);
    }
    changed.forEach(board::touched);
  }

  private void spare(List<Integer> indices, List<Machine> rooms) {
    List<Machine> spare = new ArrayList<>();
    for (int i : indices) {
      spare.add(rooms.get(i));
    }
    loans.setIdleMachines(spare);
  }

  private void rent(
      List<SchedulingDecision.Rental> rentals, List<Snapshot.InstanceOffer> offers, int less) {
    // Event rounds are many, and each batch takes changes and calls.
    long now = loop.nowMs();
    if (rentals.isEmpty()
        || fleet.pending().size() > MOST_PENDING
        || now - lastRentMs < RENT_GAP_MS) {
      return;
    }
    lastRentMs = now;
    int spared = less;
    for (SchedulingDecision.Rental r : rentals) {
      Snapshot.InstanceOffer o = offers.get(r.offer());
      int n = Math.min(zones.rentable(o.zone()), Math.max(0, r.count() - spared));
      spared = Math.max(0, spared - r.count());
      if (n > 0) {
        fleet.rent(catalog.type(o.type()), o.zone(), o.spot(), n);
        zones.rented(o.zone(), n);
      }
    }
  }

  private List<Snapshot.InstanceOffer> offers() {
    List<Snapshot.InstanceOffer> all = new ArrayList<>();
    for (MachineType t : catalog.all()) {
      Snapshot.Size size = new Snapshot.Size(t.cores(), t.gpus(), t.memoryGb());
      for (int zone : t.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          if (!fleet.refused(t.index(), zone, spot) && zones.rentable(zone) > 0) {
            all.add(
                new Snapshot.InstanceOffer(
                    t.index(),
                    zone,
                    spot,
                    size,
                    spot ? t.spotPrice() : t.price(),
                    (long) (1000 * t.bootS()),
                    t.fetchGbPerS()));
          }
        }
      }
    }
    return all;
  }
}
