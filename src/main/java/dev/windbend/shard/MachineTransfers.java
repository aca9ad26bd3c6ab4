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
 * Transfers of machines between shards: idle ones at once, busy ones reserved for the other shard
 * and transferred once they are empty, and, for overdue tasks, evicted if need be.
 */
final class MachineTransfers {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTransfers.class);
  private static final long MIN_REQUEST_INTERVAL_MS = 2_000;
  private static final int MAX_MACHINES_PER_REQUEST = 100;

  /** A shard with less than this share of its guarantee is starved. */
  private static final double STARVED_GUARANTEE_SHARE = 0.5;

  /** Tasks that are still on a machine for an overdue task after this time are stopped. */
  private static final long EVICTION_GRACE_MS = 10_000;

  /** A machine that came from another shard stays for so long, so that none goes back and forth. */
  private static final long MIN_RECEIVED_RETENTION_MS = 90_000;

  /** Capacity counts as unused once no task has had it for this time. */
  private static final long FREE_CAPACITY_WINDOW_MS = 5_000;

  /** Once a machine is coming for an overdue task, no other shard is asked for so long. */
  private static final long MIN_OVERDUE_REQUEST_INTERVAL_MS = 20_000;

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
    return !requestPending && loop.nowMs() - lastRequestMs >= MIN_REQUEST_INTERVAL_MS;
  }

  /** No machine is on its way for an overdue task. */
  boolean mayRequestForOverdue() {
    return loop.nowMs() - lastOverdueServedMs >= MIN_OVERDUE_REQUEST_INTERVAL_MS;
  }

  /** The machines that the last scheduling cycle left idle. */
  void setIdleMachines(List<Machine> machines) {
    idleMachines.clear();
    idleMachines.addAll(machines);
  }

  /**
   * Asks the other shards for machines: what they can spare is paid for and need not be created.
   *
   * @param lackingCores cores that waiting tasks lack
   * @param largestCores the cores of the largest type of machine
   * @param cloudAvailable whether the cloud refused no kind of machine a moment ago
   * @param overdue tasks to get capacity for in any case; null: none
   * @param done called with the number of machines that are coming
   */
  void request(
      double lackingCores,
      double largestCores,
      boolean cloudAvailable,
      OverdueTasks overdue,
      IntConsumer done) {
    int count = (int) Math.ceil(lackingCores / largestCores);
    double coresBelowGuarantee = guaranteedCores - retainedCores(machine -> true);
    // What the cloud still has is not taken from others.
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

  /** The cores of the machines that stay with this shard. */
  private double retainedCores(Predicate<Machine> filter) {
    double cores = 0;
    for (Machine machine : fleet.machines()) {
      cores +=
          machine.returning() || machine.promisedTo() >= 0 || !filter.test(machine)
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
    List<Machine> transferred = transferIdleMachines(toShard, request.count());
    int incoming = transferred.size();
    if (request.guaranteeShare() < 1 && incoming < request.count()) {
      reserveBusyMachines(toShard, request.count() - incoming, request.guaranteeShare());
      // Those reserved count as coming. Otherwise every other shard would reserve as many too, and
      // the one that asks would end up with machines that it has no work for.
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

  /** What was idle in the last cycle may have changed since. */
  private boolean isTransferable(Machine machine) {
    return machine.mayBeTransferred()
        && machine.usable(loop.nowMs())
        && machine.tasks().isEmpty()
        && fleet.find(machine.name()) == machine;
  }

  /** How many of the machines that are coming the overdue tasks may run on. */
  private int transferForOverdue(int toShard, OverdueTasks overdue, List<Machine> transferred) {
    if (overdue == null) {
      return 0;
    }
    int incoming = (int) transferred.stream().filter(overdue.task()::allows).count();
    int evicted = evictForOverdue(toShard, overdue.task(), overdue.count() - incoming);
    return Math.min(overdue.count(), incoming + evicted);
  }

  /** Called at a steady interval: stops the tasks whose grace has ended. */
  void tick(long now) {
    if (now - freeCapacityWindowStartMs >= FREE_CAPACITY_WINDOW_MS) {
      freeCapacityWindowStartMs = now;
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
            .thenComparingDouble(this::lostWorkOnEviction));
    int incoming = 0;
    for (Machine machine : candidates) {
      boolean suitable =
          incoming < count
              && (machine.promisedTo() == toShard ? task.allows(machine) : mayEvict(machine, task));
      if (suitable) {
        evict(machine, toShard);
        incoming++;
      }
    }
    return incoming;
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
    boolean recentlyReceived =
        machine.received() && now - machine.requestedMs() < MIN_RECEIVED_RETENTION_MS;
    if (!machine.usable(now)
        || recentlyReceived
        || machine.steadilyFreeCores() < task.cores()
        || !task.hasRoomOn(machine)) {
      return false;
    }
    double remainingCores = retainedCores(other -> other != machine && other.usable(now));
    double freeCoresElsewhere = 0;
    for (Machine other : fleet.machines()) {
      freeCoresElsewhere += other != machine && other.usable(now) ? other.freeCores() : 0;
    }
    return remainingCores >= guaranteedCores
        || freeCoresElsewhere >= machine.type().cores() - machine.freeCores();
  }

  private int reservedCount(int toShard) {
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
  private void reserveBusyMachines(int toShard, int count, double guaranteeShare) {
    // A machine that is booting may take long: only those that are up are reserved.
    double usableCores = retainedCores(machine -> machine.usable(loop.nowMs()));
    double spareCores = usableCores - guaranteedCores;
    if (guaranteeShare < STARVED_GUARANTEE_SHARE) {
      // Not all guarantees can be met, so they are met alike: no shard is left with nothing.
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
  private double lostWorkOnEviction(Machine machine) {
    double lost = 0;
    long now = loop.nowMs();
    for (Placement placement : machine.tasks().values()) {
      JobSpec spec = placement.job().spec();
      lost += spec.cores() * (spec.checkpointS() > 0 ? 1 : Math.max(1, now - placement.placedMs()));
    }
    return lost;
  }
}
