package dev.windbend.shard;

import dev.windbend.job.Placement;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.machine.TaskRequirements;
import dev.windbend.peer.MachineRequester;
import dev.windbend.peer.MachineTransferMessages;
import dev.windbend.runtime.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.IntConsumer;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Machines that go from one shard to another: asked for, given, promised. */
final class MachineTransfers {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTransfers.class);
  private static final long ASK_GAP_MS = 2_000;

  private static final int MOST = 100;
  private static final double STARVED = 0.5;

  /**
   * After this time the tasks that are still on a machine wanted for an overdue task are stopped.
   */
  private static final long VACATE_MS = 10_000;

  /** A machine that came from another shard stays for so long, so that none goes back and forth. */
  private static final long KEEP_RECEIVED_MS = 90_000;

  /** Room counts as unused once no task has had it for this time. */
  private static final long WINDOW_MS = 5_000;

  /** Once a machine is coming for an overdue task, no other shard is asked for so long. */
  private static final long OVERDUE_GAP_MS = 20_000;

  private final int shard;
  private final EventLoop loop;
  private final Fleet fleet;
  private final double guaranteedCores;
  private final MachineRequester requester;
  private final List<Machine> spare = new ArrayList<>();
  private boolean asking;
  private long lastAskMs = Long.MIN_VALUE / 2;
  private long overdueServedMs = Long.MIN_VALUE / 2;
  private long windowMs;

  MachineTransfers(
      int shard, EventLoop loop, Fleet fleet, double guaranteedCores, MachineRequester requester) {
    this.shard = shard;
    this.loop = loop;
    this.fleet = fleet;
    this.guaranteedCores = guaranteedCores;
    this.requester = requester;
  }

  boolean requestPending() {
    return asking;
  }

  boolean mayRequest() {
    return !asking && loop.nowMs() - lastAskMs >= ASK_GAP_MS;
  }

  /** What the last round left idle. */
  void setIdleMachines(List<Machine> machines) {
    spare.clear();
    spare.addAll(machines);
  }

  /** No machine is on its way for an overdue task. */
  boolean mayRequestForOverdue() {
    return loop.nowMs() - overdueServedMs >= OVERDUE_GAP_MS;
  }

  /**
   * Idle paid room first, of the other shards too: what they can spare need not be rented.
   *
   * @param overdue tasks to get room for in any case; null: none
   */
  void request(
      double shortCores,
      double largest,
      boolean cloudHasMore,
      MachineTransferMessages.Overdue overdue,
      IntConsumer given) {
    int count = (int) Math.ceil(shortCores / largest);
    double below = guaranteedCores - cores(m -> true);
    // What the cloud still has is not taken from others.
    boolean guaranteed = below > 0 && !cloudHasMore;
    double has = guaranteed ? 1 - below / guaranteedCores : 1;
    if (guaranteed) {
      count = Math.min(count, (int) Math.ceil(below / largest));
    }
    asking = true;
    lastAskMs = loop.nowMs();
    MachineTransferMessages.Request request =
        new MachineTransferMessages.Request(Math.min(MOST, count), has, overdue);
    requester.request(
        shard,
        request,
        reply -> {
          asking = false;
          if (request.overdueServed(reply)) {
            overdueServedMs = loop.nowMs();
          }
          given.accept(reply.count());
        });
  }

  private double cores(Predicate<Machine> which) {
    double all = 0;
    for (Machine m : fleet.machines()) {
      all += m.returning() || m.promisedTo() >= 0 || !which.test(m) ? 0 : m.type().cores();
    }
    return all;
  }

  /**
   * Another shard lacks machines: it gets idle ones, and, if it has less than its teams'
   * guarantees, some of the busy ones as soon as they are empty. For an overdue task it gets one
   * that has room for it, busy or not.
   */
  MachineTransferMessages.Reply transfer(int to, MachineTransferMessages.Request request) {
    int count = request.count();
    List<Machine> given = new ArrayList<>();
    for (Machine m : spare) {
      if (given.size() < count
          && m.mayBeLent()
          && m.usable(loop.nowMs())
          && m.tasks().isEmpty()
          && fleet.find(m.name()) == m) {
        given.add(m);
      }
    }
    spare.removeAll(given);
    fleet.lend(given, to);
    int coming = given.size();
    if (request.guaranteeShare() < 1 && coming < count) {
      promise(to, count - coming, request.guaranteeShare());
      // Those promised count as coming. Otherwise every other shard would promise as many too, and
      // the asking one would end up with machines that it has no work for.
      coming = Math.min(count, coming + promised(to));
    }
    return new MachineTransferMessages.Reply(coming, overdueComing(to, request.overdue(), given));
  }

  private int overdueComing(int to, MachineTransferMessages.Overdue overdue, List<Machine> given) {
    if (overdue == null) {
      return 0;
    }
    int coming = (int) given.stream().filter(overdue.task()::allows).count();
    return Math.min(
        overdue.count(), coming + vacateFor(to, overdue.task(), overdue.count() - coming));
  }

  /** Called again and again: stops what is left on machines that are to be empty by now. */
  void tick(long now) {
    if (now - windowMs >= WINDOW_MS) {
      windowMs = now;
      fleet.machines().forEach(Machine::beginWindow);
    }
    for (Machine m : fleet.machines()) {
      if (m.evictByMs() >= 0 && now >= m.evictByMs()) {
        m.tasks().values().forEach(MachineTransfers::stop);
      }
    }
  }

  /**
   * Empties machines for overdue tasks: those that are promised to their shard anyway, then those
   * on which the least work is lost. Transfers do not divide machines, so the tasks that are there
   * make way. Without this a job would wait beside room that no job of this shard needs.
   *
   * @return how many are coming, of up to {@code count}
   */
  private int vacateFor(int to, TaskRequirements task, int count) {
    List<Machine> order = new ArrayList<>(fleet.machines());
    order.sort(
        Comparator.<Machine, Boolean>comparing(m -> m.promisedTo() != to)
            .thenComparingDouble(this::lostByStopping));
    int coming = 0;
    for (Machine m : order) {
      if (coming < count && (m.promisedTo() == to ? task.allows(m) : mayVacate(m, task))) {
        vacate(m, to);
        coming++;
      }
    }
    return coming;
  }

  private void vacate(Machine m, int to) {
    if (m.evictByMs() < 0) {
      LOG.info("{} is vacated for an overdue task of shard {}", m.name(), to);
      promise(m, to);
      m.evictBy(loop.nowMs() + VACATE_MS);
    }
  }

  /**
   * It has had room for the task for a while, and this shard keeps its guarantee or has room
   * elsewhere for what runs there.
   */
  private boolean mayVacate(Machine m, TaskRequirements task) {
    long now = loop.nowMs();
    boolean justReceived = m.received() && now - m.requestedMs() < KEEP_RECEIVED_MS;
    if (!m.usable(now)
        || justReceived
        || m.steadilyFreeCores() < task.cores()
        || !task.hasRoomOn(m)) {
      return false;
    }
    double left = cores(other -> other != m && other.usable(now));
    double roomElsewhere = 0;
    for (Machine other : fleet.machines()) {
      roomElsewhere += other != m && other.usable(now) ? other.freeCores() : 0;
    }
    return left >= guaranteedCores || roomElsewhere >= m.type().cores() - m.freeCores();
  }

  private int promised(int to) {
    int n = 0;
    for (Machine m : fleet.machines()) {
      n += m.promisedTo() == to ? 1 : 0;
    }
    return n;
  }

  /**
   * To a shard below its guarantee: what this shard has above its own, and, to one that has hardly
   * any of it, half of what this one has more, as parts of the guarantees.
   */
  private void promise(int to, int count, double has) {
    // What is booting may take long: given away is only what is there.
    double up = cores(m -> m.usable(loop.nowMs()));
    double above = up - guaranteedCores;
    if (has < STARVED) {
      // Not all guarantees can be met, so they are met alike: no shard is left with nothing.
      above = Math.max(above, (up - has * guaranteedCores) / 2);
    }
    int left = count - promised(to);
    List<Machine> busy = new ArrayList<>(fleet.machines());
    busy.sort(Comparator.comparingDouble(this::lostByStopping));
    for (Machine m : busy) {
      if (left > 0 && above >= m.type().cores() && m.usable(loop.nowMs())) {
        LOG.info("{} is promised to shard {}", m.name(), to);
        promise(m, to);
        above -= m.type().cores();
        left--;
      }
    }
  }

  /** What can save is stopped; the other tasks may finish first. */
  private static void promise(Machine m, int to) {
    m.promiseTo(to);
    m.tasks().values().stream()
        .filter(p -> p.job().spec().checkpointS() > 0)
        .forEach(MachineTransfers::stop);
  }

  private static void stop(Placement p) {
    p.stop(p.job().spec().saveS() + 1);
  }

  private double lostByStopping(Machine m) {
    double all = 0;
    long now = loop.nowMs();
    for (Placement p : m.tasks().values()) {
      all +=
          p.job().spec().cores()
              * (p.job().spec().checkpointS() > 0 ? 1 : Math.max(1, now - p.placedMs()));
    }
    return all;
  }
}
