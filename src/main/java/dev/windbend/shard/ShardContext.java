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
 * Services and settings shared by all shards that a controller leads.
 *
 * @param loop the event loop, which runs on the controller's only thread
 * @param layout the assignment of teams to shards
 * @param deployment the deployment as described in the settings file
 * @param policy scheduling policy set by operators
 * @param coordination access to the state service and the other controllers
 * @param machines access to the cloud and the workers
 * @param estimates estimated run times of tasks, learned from the tasks of all shards
 * @param zones dependencies of zone monitoring
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
   * Access to the state service and the other controllers.
   *
   * @param store client of the state service
   * @param replica this controller's replica of the live keys in the state service
   * @param election elects the leaders of shards
   * @param outageDetector decides whether workers' leases may be renewed in an outage of the state
   *     service
   * @param cancellations the cancellations known to this controller
   * @param machineRequester requests machines from the leaders of other shards
   */
  public record Coordination(
      StoreClient store,
      Replica replica,
      LeaderElection election,
      StoreOutageDetector outageDetector,
      Cancellations cancellations,
      MachineRequester machineRequester) {}

  /**
   * Access to the cloud and the workers.
   *
   * @param cloud client of the cloud, which creates and deletes machines
   * @param catalog the machine types and the zones
   * @param index maps machines to shards
   * @param directStops sends stop orders to workers without waiting for their next heartbeat
   * @param images maps names of container images to dense indexes
   */
  public record MachineServices(
      CloudClient cloud,
      MachineTypeCatalog catalog,
      MachineIndex index,
      DirectStopClient directStops,
      NameIndex images) {}

  /**
   * Dependencies of zone monitoring.
   *
   * @param ownZone the zone in which this controller runs
   * @param metrics zone metrics, summed over all shards
   */
  public record ZoneServices(String ownZone, ZoneMetrics metrics) {}
}
