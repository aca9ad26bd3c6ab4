package dev.windbend.worker;

import dev.windbend.job.Job;
import dev.windbend.job.Placement;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpStatus;
import dev.windbend.runtime.ServerResponse;
import dev.windbend.worker.HeldHeartbeats.Awaited;
import dev.windbend.worker.HeldHeartbeats.HeldHeartbeat;
import dev.windbend.worker.WorkerMessages.Command;
import dev.windbend.worker.WorkerMessages.Heartbeat;
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
  private static final long RECALL_MARGIN_MS = 1_000;

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
    boolean mayRenewWorkerLeases();
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
   * @param responseCallback takes the response, at once or later
   */
  public void handle(Heartbeat heartbeat, Consumer<ServerResponse> responseCallback) {
    Machine machine = fleet.find(heartbeat.machine());
    if (!accepts(machine, heartbeat)) {
      responseCallback.accept(ServerResponse.ofStatus(HttpStatus.SERVICE_UNAVAILABLE));
      return;
    }
    long nowMs = loop.nowMs();
    if (!machine.liveness().isNewer(heartbeat.incarnation(), heartbeat.sequence())) {
      // A late copy, or held back by the network: older than what we know, and nobody waits for the
      // response. It proves nothing and renews nothing.
      responseCallback.accept(restrictedResponse(machine, heartbeat));
      return;
    }
    discardHeld(machine);
    recordLiveness(machine, heartbeat, nowMs);
    if (!machine.confirmedUnderToken() || !leadership.mayAct()) {
      if (leadership.mayAct()) {
        machine.liveness().recordResponseUnderToken();
      }
      responseCallback.accept(restrictedResponse(machine, heartbeat));
      return;
    }
    reconcile(machine, heartbeat, nowMs);
    respondOrHold(machine, heartbeat, responseCallback);
  }

  /** Whether the machine is ours, and its worker has seen no token above the one we use for it. */
  private boolean accepts(Machine machine, Heartbeat heartbeat) {
    return machine != null && heartbeat.token() <= machine.token(token);
  }

  /** The worker has given up on the response that waits: a newer heartbeat has come. */
  private void discardHeld(Machine machine) {
    HeldHeartbeat held = heldHeartbeats.release(machine);
    if (held != null) {
      held.responseCallback().accept(restrictedResponse(machine, held.heartbeat()));
    }
    machine.liveness().endAwaitingResponse();
  }

  private void recordLiveness(Machine machine, Heartbeat heartbeat, long nowMs) {
    long machineToken = machine.token(token);
    recordResponseDelivery(machine, heartbeat, machineToken, nowMs);
    machine
        .liveness()
        .recordHeartbeat(
            heartbeat.incarnation(),
            heartbeat.sequence(),
            heartbeat.address(),
            heartbeat.token() == machineToken,
            nowMs);
    if (heartbeat.recallS() != null && machine.recallAtMs() < 0) {
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
  private void recordResponseDelivery(
      Machine machine, Heartbeat heartbeat, long machineToken, long nowMs) {
    if (machine.liveness().incarnation() < 0) {
      return;
    }
    boolean responseMissed =
        machine.liveness().answeredUnderToken() && heartbeat.token() < machineToken;
    if (heartbeat.incarnation() > machine.liveness().incarnation()) {
      responseMissed |=
          machine.confirmedUnderToken() && nowMs - machine.lastHeartbeatMs() < timing.leaseMs() / 2;
    } else {
      responseMissed |= reconciler.hasMissingStart(machine, heartbeat);
    }
    if (responseMissed) {
      machine.liveness().recordMissedResponse();
    } else {
      machine.liveness().clearMissedResponses();
    }
  }

  private void reconcile(Machine machine, Heartbeat heartbeat, long nowMs) {
    if (machine.cordoned()) {
      stopUnstartedPlacements(machine);
    }
    int tasksBefore = machine.tasks().size();
    machine.liveness().beginAwaitingResponse();
    reconciler.reconcile(machine, heartbeat, nowMs);
    if (machine.recallAtMs() >= 0) {
      stopCheckpointingTasks(machine, nowMs);
    }
    if (machine.tasks().size() < tasksBefore || tasksBefore == 0) {
      scheduling.runCycleNow();
    }
  }

  /** What has not started there never will: without this it would stay placed for ever. */
  private static void stopUnstartedPlacements(Machine machine) {
    for (Placement placement : machine.tasks().values()) {
      if (!placement.reported() && !placement.inherited()) {
        placement.requestStop(0);
      }
    }
  }

  /** Tasks that can save a checkpoint do so in time; others may still end before the recall. */
  private void stopCheckpointingTasks(Machine machine, long nowMs) {
    for (Placement placement : machine.tasks().values()) {
      double saveS = placement.job().spec().checkpointSaveSeconds();
      if (placement.job().spec().checkpointIntervalSeconds() > 0
          && nowMs + RECALL_MARGIN_MS + saveS * 1000 + 2 * timing.heartbeatMs()
              >= machine.recallAtMs()) {
        placement.requestStop(saveS + 1);
      }
    }
  }

  private void respondOrHold(
      Machine machine, Heartbeat heartbeat, Consumer<ServerResponse> responseCallback) {
    if (hasPendingWrite(machine)) {
      HeldHeartbeat held =
          new HeldHeartbeat(machine, heartbeat, Awaited.PLACEMENT_WRITE, responseCallback);
      heldHeartbeats.hold(held, HeartbeatTiming.MAX_HOLD_MS, this::respond);
    } else if (hasFreeCapacity(machine)
        && reconciler.commandsWithoutStarts(machine, heartbeat).isEmpty()
        && !hasPendingStart(machine)) {
      // With room and nothing to do, it gets new work at once instead of at its next heartbeat.
      HeldHeartbeat held =
          new HeldHeartbeat(machine, heartbeat, Awaited.TASK_PLACEMENT, responseCallback);
      heldHeartbeats.hold(held, timing.idleHoldMs(), this::respond);
    } else {
      respond(machine, heartbeat, responseCallback);
    }
  }

  private void respond(HeldHeartbeat held) {
    respond(held.machine(), held.heartbeat(), held.responseCallback());
  }

  private void respond(
      Machine machine, Heartbeat heartbeat, Consumer<ServerResponse> responseCallback) {
    machine.liveness().endAwaitingResponse();
    boolean isNewest =
        machine.liveness().incarnation() == heartbeat.incarnation()
            && machine.liveness().heartbeatSequence() == heartbeat.sequence();
    boolean mayAct = leadership.mayAct();
    if (mayAct) {
      machine.liveness().recordResponseUnderToken();
    }
    responseCallback.accept(
        isNewest && mayAct
            ? response(leaderResponseKind(machine), machine, heartbeat)
            : restrictedResponse(machine, heartbeat));
  }

  private static ResponseKind leaderResponseKind(Machine machine) {
    boolean mayStart = !machine.terminating() && !machine.cordoned() && machine.recorded();
    return mayStart ? ResponseKind.RENEW_STOP_AND_START : ResponseKind.RENEW_AND_STOP;
  }

  /**
   * Unsure of our lease, or of what is on the machine, we only keep workers' leases alive, and stop
   * tasks of cancelled jobs: nobody takes a lease's expiry for proof, and a successor's token is
   * higher. Not if others are served, so that workers find them, and not for longer than {@link
   * Leadership#mayRenewWorkerLeases} allows. To be asked when the response goes out, as it may have
   * waited.
   */
  private ServerResponse restrictedResponse(Machine machine, Heartbeat heartbeat) {
    ResponseKind kind =
        leadership.mayAct() || leadership.mayRenewWorkerLeases()
            ? ResponseKind.RENEW_AND_STOP_CANCELLED
            : ResponseKind.REJECT;
    return response(kind, machine, heartbeat);
  }

  private ServerResponse response(ResponseKind kind, Machine machine, Heartbeat heartbeat) {
    return switch (kind) {
      case REJECT -> ServerResponse.ofStatus(HttpStatus.SERVICE_UNAVAILABLE);
      case RENEW_AND_STOP_CANCELLED ->
          renewalResponse(machine, reconciler.stopsForCancelledTasks(heartbeat));
      case RENEW_AND_STOP ->
          renewalResponse(machine, reconciler.commandsWithoutStarts(machine, heartbeat));
      case RENEW_STOP_AND_START ->
          renewalResponse(machine, reconciler.commandsWithStarts(machine, heartbeat));
    };
  }

  private ServerResponse renewalResponse(Machine machine, List<Command> commands) {
    return ServerResponse.of(
        HttpStatus.OK, new WorkerMessages.HeartbeatResponse(machine.token(token), commands));
  }

  private static boolean hasFreeCapacity(Machine machine) {
    return !machine.cordoned()
        && !machine.terminating()
        && machine.recorded()
        && machine.freeCores() >= 1;
  }

  /** A start may go out to it. */
  private static boolean hasPendingStart(Machine machine) {
    for (Placement placement : machine.tasks().values()) {
      if (!placement.reported() && placement.job().mayStart(placement)) {
        return true;
      }
    }
    return false;
  }

  /** A start may go out to it as soon as its placement is written. */
  private static boolean hasPendingWrite(Machine machine) {
    for (Placement placement : machine.tasks().values()) {
      if (!placement.inherited()
          && !placement.reported()
          && !placement.stopRequested()
          && !placement.job().mayStart(placement)) {
        return true;
      }
    }
    return false;
  }

  /** A job was cancelled: stops go to its workers at once, in responses that wait or directly. */
  public void stopTasks(Job cancelledJob) {
    Map<Machine, List<Command>> stops = new LinkedHashMap<>();
    for (Placement placement : cancelledJob.placements()) {
      Machine machine = fleet.find(placement.machineName());
      if (machine != null && mayBeOnMachine(placement)) {
        stops
            .computeIfAbsent(machine, key -> new ArrayList<>())
            .add(Command.stop(placement.taskName(), placement.attempt(), 0));
      }
    }
    stops.forEach(this::sendStops);
  }

  private static boolean mayBeOnMachine(Placement placement) {
    return placement.reported() || placement.inherited() || placement.startSentSequence() >= 0;
  }

  private void sendStops(Machine machine, List<Command> stops) {
    HeldHeartbeat held = heldHeartbeats.release(machine);
    if (held != null) {
      respond(held);
    } else {
      directStops.send(machine, machine.token(token), stops);
    }
  }

  /** Something was written or placed: responses that waited for it go out. */
  public void respondToHeldHeartbeats() {
    heldHeartbeats.releaseIf(HeartbeatHandler::isReadyToRespond, this::respond);
  }

  private static boolean isReadyToRespond(HeldHeartbeat held) {
    Machine machine = held.machine();
    return !hasPendingWrite(machine)
        && (held.awaited() == Awaited.PLACEMENT_WRITE
            || hasPendingStart(machine)
            || !hasFreeCapacity(machine));
  }
}
