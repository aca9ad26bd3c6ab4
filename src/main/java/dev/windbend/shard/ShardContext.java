package dev.windbend.shard;

import dev.windbend.job.Cancellations;
import dev.windbend.machine.CloudClient;
import dev.windbend.machine.MachineIndex;
import dev.windbend.machine.MachineTypeCatalog;
import dev.windbend.peer.MachineRequester;
import dev.windbend.peer.StoreOutageDetector;
import dev.windbend.plan.RunTimeEstimates;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.NameIndex;
import dev.windbend.store.Replica;
import dev.windbend.store.StoreClient;
import dev.windbend.worker.DirectStopClient;
import dev.windbend.zone.ZoneMetrics;

/**
 * What all shards that a controller leads have in common.
 *
 * @param loop the controller's only thread
 * @param layout which team is of which shard
 * @param deployment what the settings file says
 * @param policy what operators have set
 * @param coordination the state service and the other controllers
 * @param machines the cloud and the workers
 * @param estimates of how long tasks run, learned from all shards' tasks
 * @param zones what the monitoring of zones needs
 */
public record ShardContext(
    EventLoop loop,
    ShardLayout layout,
    DeploymentSpec deployment,
    Policy policy,
    Coordination coordination,
    MachineServices machines,
    RunTimeEstimates estimates,
    ZoneServices zones) {

  /**
   * The state service and the other controllers.
   *
   * @param store writes and reads the state service
   * @param replica this controller's copy of the state service
   * @param election decides which shards this controller leads
   * @param outageDetector how long workers may be kept in an outage of the state service
   * @param cancellations all that this controller knows of
   * @param machineRequester asks the leaders of other shards for machines
   */
  public record Coordination(
      StoreClient store,
      Replica replica,
      LeaderElection election,
      StoreOutageDetector outageDetector,
      Cancellations cancellations,
      MachineRequester machineRequester) {}

  /**
   * The cloud and the workers.
   *
   * @param cloud creates and deletes machines
   * @param catalog the types of machines and the zones
   * @param index which machine is of which shard
   * @param directStops sends stops to workers without waiting for their next heartbeat
   * @param images the indexes of container images
   */
  public record MachineServices(
      CloudClient cloud,
      MachineTypeCatalog catalog,
      MachineIndex index,
      DirectStopClient directStops,
      NameIndex images) {}

  /**
   * What the monitoring of zones needs.
   *
   * @param ownZone the zone of this controller
   * @param metrics of all shards together
   */
  public record ZoneServices(String ownZone, ZoneMetrics metrics) {}
}
