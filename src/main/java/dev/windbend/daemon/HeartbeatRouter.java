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
 * Routes a worker's heartbeat to the leader of its machine's shard. If another controller is the
 * leader, the response names that controller (421). If no leader can handle the heartbeat yet, the
 * worker has to retry (503).
 */
final class HeartbeatRouter implements RequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatRouter.class);

  /** Shard whose leader adopts orphaned machines. */
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
      // The machine's shard is unknown until the replica is synced, and parsing the heartbeat would
      // delay the first sync.
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

  /**
   * Handles a heartbeat from a machine that no ready leader on this controller has: its shard is
   * led by another controller, its local leader has not recovered the machine yet, or it is
   * orphaned.
   */
  private void handleWithoutLocalLeader(
      WorkerMessages.Heartbeat heartbeat, Consumer<ServerResponse> done) {
    String machine = heartbeat.machine();
    int recordedShard = machineIndex.shardOf(machine);
    LOG.debug("no local leader for heartbeat: shard={} machine={}", recordedShard, machine);
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
