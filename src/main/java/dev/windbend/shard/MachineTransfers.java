package dev.windbend.shard;

import dev.windbend.job.JobSpec;
import dev.windbend.job.Placement;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineMessages.TaskRequirements;
import dev.windbend.peer.MachineRequester;
import dev.windbend.peer.MachineTransferMessages.OverdueTasks;
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
 * Transfers machines between shards. Idle machines are transferred immediately. Busy machines are
 * reserved for the other shard and transferred once they are empty; for overdue tasks, the running
 * tasks are evicted if necessary.
 */
final class MachineTransfers {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTransfers.class);
  private static final long MIN_REQUEST_INTERVAL_MS = 2_000;
  private static final int MAX_MACHINES_PER_REQUEST = 100;

  /** A shard with less than this share of its guaranteed cores counts as starved. */
  private static final double STARVED_GUARANTEE_SHARE = 0.5;

  /**
   * Grace period of an eviction for overdue tasks: tasks that are still on the machine after this
   * time are stopped.
   */
  private static final long EVICTION_GRACE_MS = 10_000;

  /**
   * No tasks are evicted for overdue tasks from a machine that was received from another shard less
   * than this time ago, so that machines do not move back and forth between shards.
   */
  private static final long MIN_RECEIVED_RETENTION_MS = 90_000;

  /** Capacity counts as steadily free once no task has used it for this time. */
  private static final long FREE_CAPACITY_WINDOW_MS = 5_000;

  /**
   * After a reply that provides machines for all overdue tasks, no more machines are requested for
   * overdue tasks for this time.
   */
  private static final long MIN_OVERDUE_REQUEST_INTERVAL_MS = 20_000;

  /** Earlier than any point in time; half of the minimum, so that differences do not overflow. */
  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private final int shard;
  private final EventLoop loop;
  private final Fleet fleet;
  private final double guaranteedCores;
  private final MachineRequester requester;
  private final List<Machine> idleMachines = new ArrayList<>();
  private boolean requestPending;
  private long lastRequestMs = NEVER_MS;
  private long lastOverdueServedMs = NEVER_MS;
  private long freeCapacityWindowStartMs;

  /**
   * Creates the transfers to and from one shard.
   *
   * @param guaranteedCores sum of the guaranteed cores of all teams of the shard
   */
  MachineTransfers(
      int shard, EventLoop loop, Fleet fleet, double guaranteedCores, MachineRequester requester) {
    this.shard = shard;
    this.loop = loop;
    this.fleet = fleet;
    this.guaranteedCores = guaranteedCores;
    this.requester = requester;
  }

  /** Whether a request to the other shards is still in progress. */
  boolean requestPending() {
    return requestPending;
  }

  /** Whether a new request to the other shards may be sent now. */
  boolean mayRequest() {
    return !requestPending && loop.nowMs() - lastRequestMs >= MIN_REQUEST_INTERVAL_MS;
  }

  /** Whether the next request may include overdue tasks. */
  boolean mayRequestForOverdue() {
    return loop.nowMs() - lastOverdueServedMs >= MIN_OVERDUE_REQUEST_INTERVAL_MS;
  }

  /** Replaces the set of idle machines with those that the last scheduling cycle left idle. */
  void setIdleMachines(List<Machine> machines) {
    idleMachines.clear();
    idleMachines.addAll(machines);
  }

  /**
   * Requests machines from the other shards. Machines that the other shards can spare are already
   * paid for and do not have to be created.
   *
   * @param lackingCores cores that waiting tasks lack
   * @param largestCores cores of the largest machine type
   * @param cloudAvailable whether the cloud has not refused any kind of machine recently
   * @param overdue tasks to obtain machines for even if other tasks must be evicted; null if none
   * @param done called with the number of machines that the other shards transfer or have reserved
   */
  void request(
      double lackingCores,
      double largestCores,
      boolean cloudAvailable,
      OverdueTasks overdue,
      IntConsumer done) {
    int count = (int) Math.ceil(lackingCores / largestCores);
    double coresBelowGuarantee = guaranteedCores - retainedCores(machine -> true);
    // As long as the cloud has machines available, busy machines of other shards are not requested.
    boolean requestsGuarantee = coresBelowGuarantee > 0 && !cloudAvailable;
    double guaranteeShare = requestsGuarantee ? 1 - coresBelowGuarantee / guaranteedCores : 1;
    if (requestsGuarantee) {
      count = Math.min(count, (int) Math.ceil(coresBelowGuarantee / largestCores));
    }
    requestPending = true;
    lastRequestMs = loop.nowMs();
    Request request =
        new Request(Math.min(MAX_MACHINES_PER_REQUEST, count), guaranteeShare, overdue);
    requester.request(shard, request, reply -> handleReply(request, reply, done));
  }

  private void handleReply(Request request, Reply reply, IntConsumer done) {
    requestPending = false;
    if (request.overdueServed(reply)) {
      lastOverdueServedMs = loop.nowMs();
    }
    done.accept(reply.count());
  }

  /**
   * Cores of the machines that match the filter and stay with this shard, that is, are neither
   * being returned to the cloud nor reserved for another shard.
   */
  private double retainedCores(Predicate<Machine> filter) {
    double cores = 0;
    for (Machine machine : fleet.machines()) {
      cores +=
          machine.terminating() || machine.reservedForShard() >= 0 || !filter.test(machine)
              ? 0
              : machine.type().cores();
    }
    return cores;
  }

  /**
   * Handles the request of another shard that lacks machines. The other shard receives idle
   * machines and, if it has less than its teams' guarantees, some of the busy machines as soon as
   * they are empty. For overdue tasks it receives machines with capacity for them, busy or not.
   *
   * @return how many machines the other shard receives now or later
   */
  Reply transfer(int toShard, Request request) {
    List<Machine> transferred = transferIdleMachines(toShard, request.count());
    int incoming = transferred.size();
    if (request.guaranteeShare() < 1 && incoming < request.count()) {
      reserveBusyMachines(toShard, request.count() - incoming, request.guaranteeShare());
      // Reserved machines are included in the reply. Otherwise every other shard would reserve the
      // same number of machines, and the requesting shard would receive more than it has work for.
      incoming = Math.min(request.count(), incoming + reservedCount(toShard));
    }
    return new Reply(incoming, transferForOverdue(toShard, request.overdue(), transferred));
  }

  private List<Machine> transferIdleMachines(int toShard, int count) {
    List<Machine> transferred = new ArrayList<>();
    for (Machine machine : idleMachines) {
      if (transferred.size() < count && isTransferable(machine)) {
        transferred.add(machine);
      }
    }
    idleMachines.removeAll(transferred);
    fleet.transfer(transferred, toShard);
    return transferred;
  }

  /**
   * Whether the machine is still idle and may be transferred; it may have changed since the last
   * scheduling cycle.
   */
  private boolean isTransferable(Machine machine) {
    return machine.mayBeTransferred()
        && machine.usable(loop.nowMs())
        && machine.tasks().isEmpty()
        && fleet.find(machine.name()) == machine;
  }

  /**
   * Evicts tasks from machines if the transferred machines do not suffice for the overdue tasks.
   *
   * @return how many of the transferred and evicted machines the overdue tasks may run on
   */
  private int transferForOverdue(int toShard, OverdueTasks overdue, List<Machine> transferred) {
    if (overdue == null) {
      return 0;
    }
    int incoming = (int) transferred.stream().filter(overdue.task()::allows).count();
    int evicted = evictForOverdue(toShard, overdue.task(), overdue.count() - incoming);
    return Math.min(overdue.count(), incoming + evicted);
  }

  /**
   * Stops the tasks whose eviction grace period has ended, and starts a new free-capacity window
   * when the last one is over. Called at a fixed interval.
   *
   * @param nowMs monotonic clock
   */
  void tick(long nowMs) {
    if (nowMs - freeCapacityWindowStartMs >= FREE_CAPACITY_WINDOW_MS) {
      freeCapacityWindowStartMs = nowMs;
      fleet.machines().forEach(Machine::beginFreeCapacityWindow);
    }
    for (Machine machine : fleet.machines()) {
      if (machine.evictAtMs() >= 0 && nowMs >= machine.evictAtMs()) {
        machine.tasks().values().forEach(MachineTransfers::stopGracefully);
      }
    }
  }

  /**
   * Evicts tasks from machines to make room for overdue tasks of another shard. Machines that are
   * already reserved for that shard come first, then those on which eviction loses the least work.
   * A machine is transferred as a whole, so all its tasks are evicted. Without eviction, a job of
   * the other shard would wait although this shard has capacity that none of its own jobs needs.
   *
   * @return how many machines the other shard will receive, at most {@code count}
   */
  private int evictForOverdue(int toShard, TaskRequirements task, int count) {
    List<Machine> candidates = new ArrayList<>(fleet.machines());
    candidates.sort(
        Comparator.<Machine, Boolean>comparing(machine -> machine.reservedForShard() != toShard)
            .thenComparingDouble(this::lostWorkOnEviction));
    int incoming = 0;
    for (Machine machine : candidates) {
      boolean suitable =
          incoming < count
              && (machine.reservedForShard() == toShard
                  ? task.allows(machine)
                  : mayEvict(machine, task));
      if (suitable) {
        evict(machine, toShard);
        incoming++;
      }
    }
    return incoming;
  }

  private void evict(Machine machine, int toShard) {
    if (machine.evictAtMs() < 0) {
      LOG.info(
          "machine evicted for transfer: shard={} machine={} to_shard={} cause=\"overdue task\"",
          shard,
          machine.name(),
          toShard);
      reserve(machine, toShard);
      machine.evictAt(loop.nowMs() + EVICTION_GRACE_MS);
    }
  }

  /**
   * Whether the machine's tasks may be evicted for an overdue task. The machine must have had
   * enough free cores for at least one free-capacity window, and this shard must keep its
   * guaranteed cores without the machine or have enough free cores on other machines for the
   * evicted tasks.
   */
  private boolean mayEvict(Machine machine, TaskRequirements task) {
    long nowMs = loop.nowMs();
    boolean recentlyReceived =
        machine.receivedByTransfer() && nowMs - machine.requestedMs() < MIN_RECEIVED_RETENTION_MS;
    if (!machine.usable(nowMs)
        || recentlyReceived
        || machine.sustainedFreeCores() < task.cores()
        || !task.hasCapacityOn(machine)) {
      return false;
    }
    double remainingCores = retainedCores(other -> other != machine && other.usable(nowMs));
    double freeCoresElsewhere = 0;
    for (Machine other : fleet.machines()) {
      freeCoresElsewhere += other != machine && other.usable(nowMs) ? other.freeCores() : 0;
    }
    return remainingCores >= guaranteedCores
        || freeCoresElsewhere >= machine.type().cores() - machine.freeCores();
  }

  private int reservedCount(int toShard) {
    int reserved = 0;
    for (Machine machine : fleet.machines()) {
      reserved += machine.reservedForShard() == toShard ? 1 : 0;
    }
    return reserved;
  }

  /**
   * Reserves machines for a shard that has less than its guarantee, up to the cores that this shard
   * has above its own guarantee. For a starved shard the limit is at least half of the difference
   * between the shares of their guarantees that the two shards have, in cores of this shard's
   * guarantee.
   */
  private void reserveBusyMachines(int toShard, int count, double guaranteeShare) {
    // Only usable machines are reserved: a booting machine may not be ready for a long time.
    double usableCores = retainedCores(machine -> machine.usable(loop.nowMs()));
    double spareCores = usableCores - guaranteedCores;
    if (guaranteeShare < STARVED_GUARANTEE_SHARE) {
      // Not all guarantees can be met, so the shortage is shared and no shard is left with none.
      spareCores = Math.max(spareCores, (usableCores - guaranteeShare * guaranteedCores) / 2);
    }
    int remaining = count - reservedCount(toShard);
    List<Machine> candidates = new ArrayList<>(fleet.machines());
    candidates.sort(Comparator.comparingDouble(this::lostWorkOnEviction));
    for (Machine machine : candidates) {
      if (remaining > 0 && spareCores >= machine.type().cores() && machine.usable(loop.nowMs())) {
        LOG.info(
            "machine reserved for transfer: shard={} machine={} to_shard={}",
            shard,
            machine.name(),
            toShard);
        reserve(machine, toShard);
        spareCores -= machine.type().cores();
        remaining--;
      }
    }
  }

  /**
   * Reserves the machine for transfer. Tasks that write checkpoints are stopped; other tasks may
   * finish first.
   */
  private static void reserve(Machine machine, int toShard) {
    machine.reserveForShard(toShard);
    machine.tasks().values().stream()
        .filter(placement -> placement.job().spec().checkpointIntervalSeconds() > 0)
        .forEach(MachineTransfers::stopGracefully);
  }

  /**
   * Stops a task with a grace period of 1 s more than its job specifies for writing a checkpoint.
   */
  static void stopGracefully(Placement placement) {
    placement.requestStop(placement.job().spec().checkpointSaveSeconds() + 1);
  }

  /**
   * Approximate work lost if the machine's tasks are stopped, in core milliseconds. Tasks that
   * write checkpoints count with 1 ms of run time, as they lose hardly any work.
   */
  private double lostWorkOnEviction(Machine machine) {
    double lost = 0;
    long nowMs = loop.nowMs();
    for (Placement placement : machine.tasks().values()) {
      JobSpec spec = placement.job().spec();
      lost +=
          spec.cores()
              * (spec.checkpointIntervalSeconds() > 0
                  ? 1
                  : Math.max(1, nowMs - placement.placedMs()));
    }
    return lost;
  }
}
