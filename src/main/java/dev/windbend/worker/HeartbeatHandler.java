package dev.windbend.worker;

import dev.windbend.job.Job;
import dev.windbend.job.Placement;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpStatus;
import dev.windbend.runtime.ServerResponse;
import dev.windbend.worker.HeldHeartbeats.Awaited;
import dev.windbend.worker.HeldHeartbeats.Held;
import dev.windbend.worker.WorkerMessages.Heartbeat;
import dev.windbend.worker.WorkerMessages.Order;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes the heartbeats of a shard's workers, and responds to each at once, or as soon as there is
 * something to do for the worker.
 */
public final class HeartbeatHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

  /** The cloud may take a machine away so much earlier than it said. */
  private static final long RECALL_SLACK_MS = 1_000;

  private final EventLoop loop;
  private final Fleet fleet;
  private final TaskReconciler reconciler;
  private final DirectStopClient directStops;
  private final Leadership leadership;
  private final SchedulingTrigger scheduling;
  private final long token;
  private final HeartbeatTiming timing;
  private final HeldHeartbeats heldHeartbeats;

  /** Whether this controller leads the shard. */
  public interface Leadership {
    /** It certainly does, so it may give orders. */
    boolean mayAct();

    /** Though it can't be sure that it does, no other controller could use the workers now. */
    boolean mayKeepWorkers();
  }

  /** Has scheduling cycles run. */
  public interface SchedulingTrigger {
    /** Capacity was freed, or a machine leaves: a cycle follows soon. */
    void requestCycle();

    /** A cycle runs at once, unless one has just been: then soon. */
    void runCycleNow();
  }

  /**
   * A handler for the workers of one shard.
   *
   * @param token fencing token under which this controller leads the shard
   */
  public HeartbeatHandler(
      EventLoop loop,
      Fleet fleet,
      TaskReconciler reconciler,
      DirectStopClient directStops,
      Leadership leadership,
      SchedulingTrigger scheduling,
      long token,
      HeartbeatTiming timing) {
    this.loop = loop;
    this.fleet = fleet;
    this.reconciler = reconciler;
    this.directStops = directStops;
    this.leadership = leadership;
    this.scheduling = scheduling;
    this.token = token;
    this.timing = timing;
    this.heldHeartbeats = new HeldHeartbeats(loop);
  }

  /** Refuses the heartbeats whose responses wait. */
  public void close() {
    heldHeartbeats.close();
  }

  /**
   * Takes one heartbeat.
   *
   * @param responseTarget takes the response, at once or later
   */
  public void handle(Heartbeat heartbeat, Consumer<ServerResponse> responseTarget) {
    Machine machine = fleet.find(heartbeat.machine());
    if (!admits(machine, heartbeat)) {
      responseTarget.accept(ServerResponse.ofStatus(HttpStatus.SERVICE_UNAVAILABLE));
      return;
    }
    long nowMs = loop.nowMs();
    if (!machine.liveness().isNewer(heartbeat.incarnation(), heartbeat.sequence())) {
      // A late copy, or held back by the network: older than what we know, and nobody waits for the
      // response. It proves nothing and renews nothing.
      responseTarget.accept(respondUnsure(machine, heartbeat));
      return;
    }
    discardHeld(machine);
    recordLiveness(machine, heartbeat, nowMs);
    if (!machine.confirmedUnderToken() || !leadership.mayAct()) {
      if (leadership.mayAct()) {
        machine.liveness().recordResponseUnderToken();
      }
      responseTarget.accept(respondUnsure(machine, heartbeat));
      return;
    }
    reconcile(machine, heartbeat, nowMs);
    respondOrHold(machine, heartbeat, responseTarget);
  }

  /** Whether the machine is ours, and its worker has seen no token above the one we use for it. */
  private boolean admits(Machine machine, Heartbeat heartbeat) {
    return machine != null && heartbeat.token() <= machine.token(token);
  }

  /** The worker has given up on the response that waits: a newer heartbeat has come. */
  private void discardHeld(Machine machine) {
    Held held = heldHeartbeats.release(machine);
    if (held != null) {
      held.responseTarget().accept(respondUnsure(machine, held.heartbeat()));
    }
    machine.liveness().endAwaitingResponse();
  }

  private void recordLiveness(Machine machine, Heartbeat heartbeat, long nowMs) {
    long machineToken = machine.token(token);
    recordEffectOfResponses(machine, heartbeat, machineToken, nowMs);
    machine
        .liveness()
        .recordHeartbeat(
            heartbeat.incarnation(),
            heartbeat.sequence(),
            heartbeat.address(),
            heartbeat.token() == machineToken,
            nowMs);
    if (heartbeat.recallS() != null && machine.recallMs() < 0) {
      machine.recordRecall(nowMs + (long) (heartbeat.recallS() * 1000));
      LOG.info(
          "machine recalled by the cloud: machine={} recall_s={}",
          machine.name(),
          heartbeat.recallS());
      scheduling.requestCycle();
    }
  }

  /**
   * Whether our responses reach it: one gives it our token, and a start shows in the next
   * heartbeat. A machine that keeps sending heartbeats but shows neither gets no more work and is
   * returned. Its incarnation ends too, as no response renews its lease.
   */
  private void recordEffectOfResponses(
      Machine machine, Heartbeat heartbeat, long machineToken, long nowMs) {
    if (machine.liveness().incarnation() < 0) {
      return;
    }
    boolean missed = machine.liveness().answeredUnderToken() && heartbeat.token() < machineToken;
    if (heartbeat.incarnation() > machine.liveness().incarnation()) {
      missed |=
          machine.confirmedUnderToken() && nowMs - machine.lastHeartbeatMs() < timing.leaseMs() / 2;
    } else {
      missed |= reconciler.startMissing(machine, heartbeat);
    }
    if (missed) {
      machine.liveness().recordMissedResponse();
    } else {
      machine.liveness().clearMissedResponses();
    }
  }

  private void reconcile(Machine machine, Heartbeat heartbeat, long nowMs) {
    if (machine.cordoned()) {
      abandonUnstarted(machine);
    }
    int tasksBefore = machine.tasks().size();
    machine.liveness().beginAwaitingResponse();
    reconciler.reconcile(machine, heartbeat, nowMs);
    if (machine.recallMs() >= 0) {
      stopTasksThatCheckpoint(machine, nowMs);
    }
    if (machine.tasks().size() < tasksBefore || tasksBefore == 0) {
      scheduling.runCycleNow();
    }
  }

  /** What has not started there never will: without this it would stay placed for ever. */
  private static void abandonUnstarted(Machine machine) {
    for (Placement placement : machine.tasks().values()) {
      if (!placement.seen() && !placement.inherited()) {
        placement.stop(0);
      }
    }
  }

  /** Tasks that can save a checkpoint do so in time; others may still end before the recall. */
  private void stopTasksThatCheckpoint(Machine machine, long nowMs) {
    for (Placement placement : machine.tasks().values()) {
      double saveS = placement.job().spec().saveS();
      if (placement.job().spec().checkpointS() > 0
          && nowMs + RECALL_SLACK_MS + saveS * 1000 + 2 * timing.heartbeatMs()
              >= machine.recallMs()) {
        placement.stop(saveS + 1);
      }
    }
  }

  private void respondOrHold(
      Machine machine, Heartbeat heartbeat, Consumer<ServerResponse> responseTarget) {
    if (writePending(machine)) {
      Held held = new Held(machine, heartbeat, Awaited.WRITE, responseTarget);
      heldHeartbeats.hold(held, HeartbeatTiming.MAX_HOLD_MS, this::respond);
    } else if (hasRoom(machine)
        && reconciler.ordersWithoutStarts(machine, heartbeat).isEmpty()
        && !startPending(machine)) {
      // With room and nothing to do, it gets new work at once instead of at its next heartbeat.
      Held held = new Held(machine, heartbeat, Awaited.WORK, responseTarget);
      heldHeartbeats.hold(held, timing.idleHoldMs(), this::respond);
    } else {
      respond(machine, heartbeat, responseTarget);
    }
  }

  private void respond(Held held) {
    respond(held.machine(), held.heartbeat(), held.responseTarget());
  }

  private void respond(
      Machine machine, Heartbeat heartbeat, Consumer<ServerResponse> responseTarget) {
    machine.liveness().endAwaitingResponse();
    boolean newest =
        machine.liveness().incarnation() == heartbeat.incarnation()
            && machine.liveness().heartbeatSequence() == heartbeat.sequence();
    boolean mayAct = leadership.mayAct();
    if (mayAct) {
      machine.liveness().recordResponseUnderToken();
    }
    responseTarget.accept(
        newest && mayAct
            ? response(sureKind(machine), machine, heartbeat)
            : respondUnsure(machine, heartbeat));
  }

  private static ResponseKind sureKind(Machine machine) {
    boolean mayStart = !machine.returning() && !machine.cordoned() && machine.recorded();
    return mayStart ? ResponseKind.STOP_AND_START : ResponseKind.STOP_UNWANTED;
  }

  /**
   * Unsure of our lease, or of what is on the machine, we only keep workers' leases alive, and stop
   * tasks of cancelled jobs: nobody takes a lease's expiry for proof, and a successor's token is
   * higher. Not if others are served, so that workers find them, and not for longer than {@link
   * Leadership#mayKeepWorkers} allows. To be asked when the response goes out, as it may have
   * waited.
   */
  private ServerResponse respondUnsure(Machine machine, Heartbeat heartbeat) {
    ResponseKind kind =
        leadership.mayAct() || leadership.mayKeepWorkers()
            ? ResponseKind.STOP_CANCELLED
            : ResponseKind.RENEW_NOTHING;
    return response(kind, machine, heartbeat);
  }

  private ServerResponse response(ResponseKind kind, Machine machine, Heartbeat heartbeat) {
    return switch (kind) {
      case RENEW_NOTHING -> ServerResponse.ofStatus(HttpStatus.SERVICE_UNAVAILABLE);
      case STOP_CANCELLED -> renewal(machine, reconciler.stopsOfCancelledTasks(heartbeat));
      case STOP_UNWANTED -> renewal(machine, reconciler.ordersWithoutStarts(machine, heartbeat));
      case STOP_AND_START -> renewal(machine, reconciler.ordersWithStarts(machine, heartbeat));
    };
  }

  private ServerResponse renewal(Machine machine, List<Order> orders) {
    return ServerResponse.of(
        HttpStatus.OK, new WorkerMessages.Orders(machine.token(token), orders));
  }

  private static boolean hasRoom(Machine machine) {
    return !machine.cordoned()
        && !machine.returning()
        && machine.recorded()
        && machine.freeCores() >= 1;
  }

  /** A start may go out to it. */
  private static boolean startPending(Machine machine) {
    for (Placement placement : machine.tasks().values()) {
      if (!placement.seen() && placement.job().startable(placement)) {
        return true;
      }
    }
    return false;
  }

  /** A start may go out to it as soon as its placement is written. */
  private static boolean writePending(Machine machine) {
    for (Placement placement : machine.tasks().values()) {
      if (!placement.inherited()
          && !placement.seen()
          && !placement.stopping()
          && !placement.job().startable(placement)) {
        return true;
      }
    }
    return false;
  }

  /** A job was cancelled: stops go to its workers at once, in responses that wait or directly. */
  public void stopTasks(Job cancelledJob) {
    Map<Machine, List<Order>> stops = new LinkedHashMap<>();
    for (Placement placement : cancelledJob.placements()) {
      Machine machine = fleet.find(placement.machineName());
      if (machine != null && mayBeThere(placement)) {
        stops
            .computeIfAbsent(machine, key -> new ArrayList<>())
            .add(Order.stop(placement.taskName(), placement.attempt(), 0));
      }
    }
    stops.forEach(this::sendStops);
  }

  private static boolean mayBeThere(Placement placement) {
    return placement.seen() || placement.inherited() || placement.sentSequence() >= 0;
  }

  private void sendStops(Machine machine, List<Order> orders) {
    Held held = heldHeartbeats.release(machine);
    if (held != null) {
      respond(held);
    } else {
      directStops.send(machine, machine.token(token), orders);
    }
  }

  /** Something was written or placed: responses that waited for it go out. */
  public void respondToHeld() {
    heldHeartbeats.releaseIf(HeartbeatHandler::readyToRespond, this::respond);
  }

  private static boolean readyToRespond(Held held) {
    Machine machine = held.machine();
    return !writePending(machine)
        && (held.awaited() == Awaited.WRITE || startPending(machine) || !hasRoom(machine));
  }
}
