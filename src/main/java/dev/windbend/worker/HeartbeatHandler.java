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
 * Handles the heartbeats of a shard's workers. A response is sent immediately, or held until there
 * is a command for the worker or a time limit expires.
 */
public final class HeartbeatHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

  /** The cloud may reclaim a machine this much earlier than announced. */
  private static final long RECALL_MARGIN_MS = 1_000;

  private final EventLoop loop;
  private final Fleet fleet;
  private final TaskReconciler reconciler;
  private final HeartbeatResponseBuilder responses;
  private final DirectStopClient directStops;
  private final Leadership leadership;
  private final SchedulingTrigger scheduling;
  private final long token;
  private final HeartbeatTiming timing;
  private final HeldHeartbeats heldHeartbeats;

  /** Actions permitted to this controller as leader of the shard. */
  public interface Leadership {
    /** Whether this controller is certain to lead the shard and may therefore send commands. */
    boolean mayAct();

    /**
     * Whether heartbeat responses may renew workers' leases although this controller may no longer
     * lead the shard. True while no other controller could use the workers.
     */
    boolean mayRenewWorkerLeases();
  }

  /** Triggers scheduling cycles. */
  public interface SchedulingTrigger {
    /**
     * Requests a cycle in the near future, after capacity was freed or a machine began to leave.
     */
    void requestCycle();

    /** Runs a cycle immediately, or requests one in the near future if a cycle has just run. */
    void runCycleNow();
  }

  /**
   * Creates a handler for the workers of one shard.
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
    this.responses = new HeartbeatResponseBuilder(reconciler, leadership, token);
    this.directStops = directStops;
    this.leadership = leadership;
    this.scheduling = scheduling;
    this.token = token;
    this.timing = timing;
    this.heldHeartbeats = new HeldHeartbeats(loop);
  }

  /** Answers all held heartbeats with status 503. */
  public void close() {
    heldHeartbeats.close();
  }

  /**
   * Handles one heartbeat.
   *
   * @param responseCallback receives the response, immediately or later
   */
  public void handle(Heartbeat heartbeat, Consumer<ServerResponse> responseCallback) {
    Machine machine = fleet.find(heartbeat.machine());
    if (!accepts(machine, heartbeat)) {
      responseCallback.accept(ServerResponse.ofStatus(HttpStatus.SERVICE_UNAVAILABLE));
      return;
    }
    long nowMs = loop.nowMs();
    if (!machine.liveness().isNewer(heartbeat.incarnation(), heartbeat.sequence())) {
      // A duplicate, or a heartbeat delayed by the network. It is older than the recorded state and
      // its sender no longer waits for the response, so it neither confirms nor renews anything.
      responseCallback.accept(responses.restrictedResponse(machine, heartbeat));
      return;
    }
    respondToSuperseded(machine);
    recordLiveness(machine, heartbeat, nowMs);
    if (!machine.confirmedUnderToken() || !leadership.mayAct()) {
      if (leadership.mayAct()) {
        machine.liveness().recordResponseUnderToken();
      }
      responseCallback.accept(responses.restrictedResponse(machine, heartbeat));
      return;
    }
    reconcile(machine, heartbeat, nowMs);
    respondOrHold(machine, heartbeat, responseCallback);
  }

  /**
   * Whether the machine belongs to this shard and its worker has seen no token above the one that
   * this controller uses for the machine.
   */
  private boolean accepts(Machine machine, Heartbeat heartbeat) {
    return machine != null && heartbeat.token() <= machine.token(token);
  }

  /**
   * Responds to the held heartbeat of the machine, if any, when a newer heartbeat replaces it. The
   * worker no longer waits for that response.
   */
  private void respondToSuperseded(Machine machine) {
    HeldHeartbeat held = heldHeartbeats.release(machine);
    if (held != null) {
      held.responseCallback().accept(responses.restrictedResponse(machine, held.heartbeat()));
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
   * Records whether the worker received earlier responses. A response passes the current token to
   * the worker, and a start sent in a response makes the task appear in the next heartbeat. A
   * machine whose heartbeats show a missed response gets no new tasks and is eventually returned to
   * the cloud. A worker that receives no responses also loses its lease and begins a new
   * incarnation, so a new incarnation shortly after a confirmed heartbeat counts as a missed
   * response.
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

  /**
   * Stops placements whose tasks have not started on a cordoned machine. The machine gets no more
   * starts, so these tasks would otherwise remain placed indefinitely.
   */
  private static void stopUnstartedPlacements(Machine machine) {
    for (Placement placement : machine.tasks().values()) {
      if (!placement.reported() && !placement.inherited()) {
        placement.requestStop(0);
      }
    }
  }

  /**
   * Stops each task that can save a checkpoint once the time left before the recall is only just
   * sufficient to save it. Other tasks continue, because they may finish before the recall.
   */
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
      // A machine with free capacity and no pending command receives a newly placed task without
      // waiting for its next heartbeat.
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
            ? responses.leaderResponse(machine, heartbeat)
            : responses.restrictedResponse(machine, heartbeat));
  }

  private static boolean hasFreeCapacity(Machine machine) {
    return !machine.cordoned()
        && !machine.terminating()
        && machine.recorded()
        && machine.freeTaskSlots() > 0
        && machine.freeCores() >= 1;
  }

  /** Whether the machine has a placed task whose start may be sent now. */
  private static boolean hasPendingStart(Machine machine) {
    for (Placement placement : machine.tasks().values()) {
      if (!placement.reported() && placement.job().mayStart(placement)) {
        return true;
      }
    }
    return false;
  }

  /** Whether the machine has a placed task whose start may be sent once its placement is stored. */
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

  /**
   * Sends stops for the tasks of a cancelled job immediately, in the response to a held heartbeat
   * where there is one and by direct command elsewhere.
   */
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
    } else if (machine.freeTaskSlots() >= 0) {
      // Otherwise StopLimit divides the stops among the responses to the next heartbeats.
      directStops.send(machine, machine.token(token), stops);
    }
  }

  /** Sends the held responses that have become ready after a placement or a completed write. */
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
