package dev.windbend.shard;

import dev.windbend.job.JobSpec;
import dev.windbend.job.Placement;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineMessages.TaskRequirements;
import dev.windbend.peer.MachineRequester;
import dev.windbend.peer.MachineTransferMessages.Overdue;
import dev.windbend.peer.MachineTransferMessages.Reply;
import dev.windbend.peer.MachineTransferMessages.Request;
import dev.windbend.runtime.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.IntConsumer;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Transfers of machines between shards: idle ones at once, busy ones reserved for the other shard
 * and transferred once they are empty, and, for overdue tasks, evicted if need be.
 */
final class MachineTransfers {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTransfers.class);
  private static final long REQUEST_INTERVAL_MS = 2_000;
  private static final int MAX_MACHINES_A_REQUEST = 100;

  /** A shard with less than this share of its guarantee is starved. */
  private static final double STARVED_SHARE = 0.5;

  /** Tasks that are still on a machine for an overdue task after this time are stopped. */
  private static final long EVICTION_GRACE_MS = 10_000;

  /** A machine that came from another shard stays for so long, so that none goes back and forth. */
  private static final long KEEP_RECEIVED_MS = 90_000;

  /** Capacity counts as unused once no task has had it for this time. */
  private static final long FREE_CAPACITY_WINDOW_MS = 5_000;

  /** Once a machine is coming for an overdue task, no other shard is asked for so long. */
  private static final long OVERDUE_REQUEST_INTERVAL_MS = 20_000;

  private static final long LONG_AGO_MS = Long.MIN_VALUE / 2;

  private final int shard;
  private final EventLoop loop;
  private final Fleet fleet;
  private final double guaranteedCores;
  private final MachineRequester requester;
  private final List<Machine> idleMachines = new ArrayList<>();
  private boolean requestPending;
  private long lastRequestMs = LONG_AGO_MS;
  private long overdueServedMs = LONG_AGO_MS;
  private long windowStartMs;

  /**
   * Makes the transfers from and to one shard.
   *
   * @param guaranteedCores the guaranteed cores of all teams of the shard
   */
  MachineTransfers(
      int shard, EventLoop loop, Fleet fleet, double guaranteedCores, MachineRequester requester) {
    this.shard = shard;
    this.loop = loop;
    this.fleet = fleet;
    this.guaranteedCores = guaranteedCores;
    this.requester = requester;
  }

  /** Other shards have been asked and have not all answered yet. */
  boolean requestPending() {
    return requestPending;
  }

  boolean mayRequest() {
    return !requestPending && loop.nowMs() - lastRequestMs >= REQUEST_INTERVAL_MS;
  }

  /** No machine is on its way for an overdue task. */
  boolean mayRequestForOverdue() {
    return loop.nowMs() - overdueServedMs >= OVERDUE_REQUEST_INTERVAL_MS;
  }

  /** The machines that the last scheduling cycle left idle. */
  void setIdleMachines(List<Machine> machines) {
    idleMachines.clear();
    idleMachines.addAll(machines);
  }

  /**
   * Asks the other shards for machines: what they can spare is paid for and need not be created.
   *
   * @param missingCores cores that waiting tasks lack
   * @param largestCores the cores of the largest type of machine
   * @param cloudHasMore whether the cloud refused no kind of machine a moment ago
   * @param overdue tasks to get capacity for in any case; null: none
   * @param done called with the number of machines that are coming
   */
  void request(
      double missingCores,
      double largestCores,
      boolean cloudHasMore,
      Overdue overdue,
      IntConsumer done) {
    int count = (int) Math.ceil(missingCores / largestCores);
    double belowGuarantee = guaranteedCores - cores(machine -> true);
    // What the cloud still has is not taken from others.
    boolean entitled = belowGuarantee > 0 && !cloudHasMore;
    double guaranteeShare = entitled ? 1 - belowGuarantee / guaranteedCores : 1;
    if (entitled) {
      count = Math.min(count, (int) Math.ceil(belowGuarantee / largestCores));
    }
    requestPending = true;
    lastRequestMs = loop.nowMs();
    Request request = new Request(Math.min(MAX_MACHINES_A_REQUEST, count), guaranteeShare, overdue);
    requester.request(shard, request, reply -> settleRequest(request, reply, done));
  }

  private void settleRequest(Request request, Reply reply, IntConsumer done) {
    requestPending = false;
    if (request.overdueServed(reply)) {
      overdueServedMs = loop.nowMs();
    }
    done.accept(reply.count());
  }

  /** The cores of the machines that stay with this shard. */
  private double cores(Predicate<Machine> counted) {
    double cores = 0;
    for (Machine machine : fleet.machines()) {
      cores +=
          machine.returning() || machine.promisedTo() >= 0 || !counted.test(machine)
              ? 0
              : machine.type().cores();
    }
    return cores;
  }

  /**
   * Another shard lacks machines: it gets idle ones, and, if it has less than its teams'
   * guarantees, some of the busy ones as soon as they are empty. For an overdue task it gets one
   * that has capacity for it, busy or not.
   */
  Reply transfer(int toShard, Request request) {
    List<Machine> transferred = transferIdle(toShard, request.count());
    int coming = transferred.size();
    if (request.guaranteeShare() < 1 && coming < request.count()) {
      reserveBusy(toShard, request.count() - coming, request.guaranteeShare());
      // Those reserved count as coming. Otherwise every other shard would reserve as many too, and
      // the one that asks would end up with machines that it has no work for.
      coming = Math.min(request.count(), coming + reservedFor(toShard));
    }
    return new Reply(coming, transferForOverdue(toShard, request.overdue(), transferred));
  }

  private List<Machine> transferIdle(int toShard, int count) {
    List<Machine> transferred = new ArrayList<>();
    for (Machine machine : idleMachines) {
      if (transferred.size() < count && transferableNow(machine)) {
        transferred.add(machine);
      }
    }
    idleMachines.removeAll(transferred);
    fleet.transfer(transferred, toShard);
    return transferred;
  }

  /** What was idle in the last cycle may have changed since. */
  private boolean transferableNow(Machine machine) {
    return machine.mayBeTransferred()
        && machine.usable(loop.nowMs())
        && machine.tasks().isEmpty()
        && fleet.find(machine.name()) == machine;
  }

  /** How many of the machines that are coming the overdue tasks may run on. */
  private int transferForOverdue(int toShard, Overdue overdue, List<Machine> transferred) {
    if (overdue == null) {
      return 0;
    }
    int coming = (int) transferred.stream().filter(overdue.task()::allows).count();
    int evicted = evictForOverdue(toShard, overdue.task(), overdue.count() - coming);
    return Math.min(overdue.count(), coming + evicted);
  }

  /** Called at a steady interval: stops the tasks whose grace has ended. */
  void tick(long now) {
    if (now - windowStartMs >= FREE_CAPACITY_WINDOW_MS) {
      windowStartMs = now;
      fleet.machines().forEach(Machine::beginWindow);
    }
    for (Machine machine : fleet.machines()) {
      if (machine.evictByMs() >= 0 && now >= machine.evictByMs()) {
        machine.tasks().values().forEach(MachineTransfers::stopGracefully);
      }
    }
  }

  /**
   * Evicts the tasks of machines for overdue tasks: of those that are reserved for their shard
   * anyway, then of those on which the least work is lost. A transfer does not divide a machine, so
   * all its tasks make way. Without this a job would wait beside capacity that no job of this shard
   * needs.
   *
   * @return how many machines are coming, of up to {@code count}
   */
  private int evictForOverdue(int toShard, TaskRequirements task, int count) {
    List<Machine> candidates = new ArrayList<>(fleet.machines());
    candidates.sort(
        Comparator.<Machine, Boolean>comparing(machine -> machine.promisedTo() != toShard)
            .thenComparingDouble(this::workLostByStopping));
    int coming = 0;
    for (Machine machine : candidates) {
      boolean suits =
          coming < count
              && (machine.promisedTo() == toShard ? task.allows(machine) : mayEvict(machine, task));
      if (suits) {
        evict(machine, toShard);
        coming++;
      }
    }
    return coming;
  }

  private void evict(Machine machine, int toShard) {
    if (machine.evictByMs() < 0) {
      LOG.info(
          "machine evicted for transfer: shard={} machine={} to_shard={} cause=\"overdue task\"",
          shard,
          machine.name(),
          toShard);
      reserve(machine, toShard);
      machine.evictBy(loop.nowMs() + EVICTION_GRACE_MS);
    }
  }

  /**
   * It has had capacity for the task for a while, and this shard keeps its guarantee or has
   * capacity elsewhere for what runs there.
   */
  private boolean mayEvict(Machine machine, TaskRequirements task) {
    long now = loop.nowMs();
    boolean justReceived = machine.received() && now - machine.requestedMs() < KEEP_RECEIVED_MS;
    if (!machine.usable(now)
        || justReceived
        || machine.steadilyFreeCores() < task.cores()
        || !task.hasRoomOn(machine)) {
      return false;
    }
    double coresLeft = cores(other -> other != machine && other.usable(now));
    double freeElsewhere = 0;
    for (Machine other : fleet.machines()) {
      freeElsewhere += other != machine && other.usable(now) ? other.freeCores() : 0;
    }
    return coresLeft >= guaranteedCores
        || freeElsewhere >= machine.type().cores() - machine.freeCores();
  }

  private int reservedFor(int toShard) {
    int reserved = 0;
    for (Machine machine : fleet.machines()) {
      reserved += machine.promisedTo() == toShard ? 1 : 0;
    }
    return reserved;
  }

  /**
   * Reserves machines for a shard below its guarantee: what this shard has above its own, and, for
   * a starved one, half of what this one has more, as shares of the guarantees.
   */
  private void reserveBusy(int toShard, int count, double guaranteeShare) {
    // A machine that is booting may take long: only those that are up are reserved.
    double coresUp = cores(machine -> machine.usable(loop.nowMs()));
    double spareCores = coresUp - guaranteedCores;
    if (guaranteeShare < STARVED_SHARE) {
      // Not all guarantees can be met, so they are met alike: no shard is left with nothing.
      spareCores = Math.max(spareCores, (coresUp - guaranteeShare * guaranteedCores) / 2);
    }
    int missing = count - reservedFor(toShard);
    List<Machine> candidates = new ArrayList<>(fleet.machines());
    candidates.sort(Comparator.comparingDouble(this::workLostByStopping));
    for (Machine machine : candidates) {
      if (missing > 0 && spareCores >= machine.type().cores() && machine.usable(loop.nowMs())) {
        LOG.info(
            "machine reserved for transfer: shard={} machine={} to_shard={}",
            shard,
            machine.name(),
            toShard);
        reserve(machine, toShard);
        spareCores -= machine.type().cores();
        missing--;
      }
    }
  }

  /** Tasks that write checkpoints are stopped; the others may finish first. */
  private static void reserve(Machine machine, int toShard) {
    machine.promiseTo(toShard);
    machine.tasks().values().stream()
        .filter(placement -> placement.job().spec().checkpointS() > 0)
        .forEach(MachineTransfers::stopGracefully);
  }

  /** Stops a task with as much grace as its job says that a checkpoint takes. */
  static void stopGracefully(Placement placement) {
    placement.stop(placement.job().spec().saveS() + 1);
  }

  /** Core milliseconds, roughly: tasks that write checkpoints lose hardly anything. */
  private double workLostByStopping(Machine machine) {
    double lost = 0;
    long now = loop.nowMs();
    for (Placement placement : machine.tasks().values()) {
      JobSpec spec = placement.job().spec();
      lost += spec.cores() * (spec.checkpointS() > 0 ? 1 : Math.max(1, now - placement.placedMs()));
    }
    return lost;
  }
}
