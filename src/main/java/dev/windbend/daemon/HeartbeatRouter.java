package dev.windbend.daemon;

import dev.windbend.machine.MachineIndex;
import dev.windbend.runtime.HttpStatus;
import dev.windbend.runtime.RequestHandler;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import dev.windbend.shard.LeaderElection;
import dev.windbend.shard.ShardLeader;
import dev.windbend.store.Replica;
import dev.windbend.worker.HeartbeatReader;
import dev.windbend.worker.WorkerMessages;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Routes a worker's heartbeat to the leader of its machine's shard. If that is another controller,
 * the worker is told which (421); while nobody can answer, it is to retry (503).
 */
final class HeartbeatRouter implements RequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatRouter.class);

  /** The shard whose leader takes in orphaned machines. */
  private static final int ORPHANED_MACHINES_SHARD = 0;

  private final String controllerName;
  private final Replica replica;
  private final MachineIndex machineIndex;
  private final LeaderElection election;
  private final ShardLeaders leaders;

  HeartbeatRouter(
      String controllerName,
      Replica replica,
      MachineIndex machineIndex,
      LeaderElection election,
      ShardLeaders leaders) {
    this.controllerName = controllerName;
    this.replica = replica;
    this.machineIndex = machineIndex;
    this.election = election;
    this.leaders = leaders;
  }

  @Override
  public void handle(ServerRequest request, Consumer<ServerResponse> done) {
    if (!replica.synced()) {
      // Whose machine it is isn't known yet, and parsing the message would delay the first sync.
      done.accept(ServerResponse.ofStatus(HttpStatus.SERVICE_UNAVAILABLE));
      return;
    }
    WorkerMessages.Heartbeat heartbeat = HeartbeatReader.read(request.body());
    if (heartbeat == null) {
      done.accept(ServerResponse.ofStatus(HttpStatus.BAD_REQUEST));
      return;
    }
    election.recordWorkerContact();
    ShardLeader leader = leaders.leaderOfMachine(heartbeat.machine());
    if (leader != null) {
      leader.handleHeartbeat(heartbeat, done);
    } else {
      handleWithoutLocalLeader(heartbeat, done);
    }
  }

  /** No leader here has the machine: it is another controller's, orphaned, or being taken over. */
  private void handleWithoutLocalLeader(
      WorkerMessages.Heartbeat heartbeat, Consumer<ServerResponse> done) {
    String machine = heartbeat.machine();
    int recordedShard = machineIndex.shardOf(machine);
    LOG.debug("heartbeat not led here: shard={} machine={}", recordedShard, machine);
    boolean isUnassigned = recordedShard < 0;
    int shard = isUnassigned ? ORPHANED_MACHINES_SHARD : recordedShard;
    ShardLeader leader = leaders.leaderOf(shard);
    if (leader == null) {
      done.accept(redirectToLeaderOf(shard));
      return;
    }
    if (isUnassigned && !machineIndex.isFormer(machine)) {
      leader.handleOrphanHeartbeat(heartbeat);
    }
    done.accept(ServerResponse.ofStatus(HttpStatus.SERVICE_UNAVAILABLE));
  }

  private ServerResponse redirectToLeaderOf(int shard) {
    String leaderName = election.leaderOf(shard);
    return leaderName == null || leaderName.equals(controllerName)
        ? ServerResponse.ofStatus(HttpStatus.SERVICE_UNAVAILABLE)
        : ServerResponse.of(
            HttpStatus.MISDIRECTED_REQUEST, new WorkerMessages.LeaderRedirect(leaderName));
  }
}
