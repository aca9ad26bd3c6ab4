package dev.windbend.worker;

import dev.windbend.machine.Machine;
import dev.windbend.runtime.HttpStatus;
import dev.windbend.runtime.MessageLimits;
import dev.windbend.runtime.ServerResponse;
import dev.windbend.worker.WorkerMessages.Heartbeat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Builds the responses to heartbeats. A response carries as many commands as one line may hold; the
 * others follow in the responses to the next heartbeats. A worker that executes a command sends its
 * next heartbeat within half a second, because the command changes the state of a task.
 */
final class HeartbeatResponseBuilder {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatResponseBuilder.class);

  private final TaskReconciler reconciler;
  private final HeartbeatHandler.Leadership leadership;
  private final long token;

  /**
   * Creates a builder for the workers of one shard.
   *
   * @param token fencing token under which this controller leads the shard
   */
  HeartbeatResponseBuilder(
      TaskReconciler reconciler, HeartbeatHandler.Leadership leadership, long token) {
    this.reconciler = reconciler;
    this.leadership = leadership;
    this.token = token;
  }

  /** Builds the response of the confirmed leader, with all commands that the machine may get. */
  ServerResponse leaderResponse(Machine machine, Heartbeat heartbeat) {
    CommandBatch batch = newBatch();
    batch.addAll(reconciler.commandsWithoutStarts(machine, heartbeat));
    if (!machine.terminating() && !machine.cordoned() && machine.recorded()) {
      reconciler.addStarts(machine, heartbeat, batch);
    }
    LOG.debug(
        "leader responds to heartbeat: machine={} commands={} token={}",
        machine.name(),
        batch.commands(),
        machine.token(token));
    return renewalResponse(machine, batch);
  }

  /**
   * Builds the response for a controller that cannot confirm its leadership, or the tasks on the
   * machine. The response renews the worker's lease and stops tasks of cancelled jobs; it carries
   * no other command.
   *
   * <p>Renewing is safe: no controller treats the expiry of a worker's lease as proof that its
   * tasks have terminated, and the next leader has a higher token. Without confirmed leadership,
   * the response is an error that renews nothing in two cases: while the state service serves other
   * controllers, so that workers find those controllers, and once the limit set by {@link
   * HeartbeatHandler.Leadership#mayRenewWorkerLeases} has passed. The response is built when it is
   * sent, because the situation may change while a heartbeat is held.
   */
  ServerResponse restrictedResponse(Machine machine, Heartbeat heartbeat) {
    boolean mayAct = leadership.mayAct();
    boolean mayRenew = mayAct || leadership.mayRenewWorkerLeases();
    LOG.debug(
        "restricted response to heartbeat: machine={} token={} may_act={} may_renew={}",
        machine.name(),
        machine.token(token),
        mayAct,
        mayRenew);
    if (!mayRenew) {
      return ServerResponse.ofStatus(HttpStatus.SERVICE_UNAVAILABLE);
    }
    CommandBatch batch = newBatch();
    batch.addAll(reconciler.stopsForCancelledTasks(heartbeat));
    return renewalResponse(machine, batch);
  }

  private static CommandBatch newBatch() {
    return new CommandBatch(MessageLimits.MAX_RESPONSE_LINE_BYTES);
  }

  private ServerResponse renewalResponse(Machine machine, CommandBatch batch) {
    if (batch.deferredCount() > 0) {
      LOG.info(
          "commands deferred to the next heartbeat: machine={} sent={} deferred={}",
          machine.name(),
          batch.commands().size(),
          batch.deferredCount());
    }
    return ServerResponse.of(
        HttpStatus.OK,
        new WorkerMessages.HeartbeatResponse(machine.token(token), batch.commands()));
  }
}
