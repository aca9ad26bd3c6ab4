package dev.windbend.daemon;

import dev.windbend.job.Cancellations;
import dev.windbend.job.JobHandler;
import dev.windbend.job.JobProgress;
import dev.windbend.machine.CloudClient;
import dev.windbend.machine.MachineIndex;
import dev.windbend.machine.MachineTypeCatalog;
import dev.windbend.overload.ConcurrencyLimiter;
import dev.windbend.peer.CancellationBroadcaster;
import dev.windbend.peer.MachineTransferClient;
import dev.windbend.peer.StoreOutageDetector;
import dev.windbend.plan.RunTimeEstimates;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpClient;
import dev.windbend.runtime.HttpServerMonitor;
import dev.windbend.runtime.HttpStatus;
import dev.windbend.runtime.NameIndex;
import dev.windbend.runtime.RequestHandler;
import dev.windbend.runtime.ServerResponse;
import dev.windbend.shard.LeaderElection;
import dev.windbend.shard.Policy;
import dev.windbend.shard.ShardContext;
import dev.windbend.shard.ShardLayout;
import dev.windbend.shard.ShardLeader;
import dev.windbend.store.Replica;
import dev.windbend.store.StoreClient;
import dev.windbend.worker.DirectStopClient;
import dev.windbend.zone.ZoneMetrics;
import java.util.ArrayList;
import java.util.List;

/** One controller: creates, connects and starts its components, which share one event loop. */
final class Controller {
  /** Prefix of all keys that windbend stores in the state service. */
  private static final String KEY_PREFIX = "w/";

  private static final double MS_PER_SECOND = 1_000;

  private final Settings settings;
  private final Policy policy;
  private final EventLoop loop;
  private final HttpClient http;
  private final StoreClient store;
  private final MachineTypeCatalog catalog;
  private final Replica replica;
  private final ShardLayout layout;
  private final LeaderElection election;
  private final Cancellations cancellations;
  private final StoreOutageDetector outageDetector;
  private final CancellationBroadcaster cancellationBroadcaster;
  private final MachineTransferClient transferClient;
  private final MachineIndex machineIndex = new MachineIndex();
  private final ZoneMetrics zoneMetrics = new ZoneMetrics();
  private final ShardLeaders leaders = new ShardLeaders(this::newLeader);
  private final ShardContext shardContext;
  private final RequestHandler clientEndpoints;
  private final RequestHandler peerEndpoints;
  private final MetricsEndpoint metricsEndpoint;

  /**
   * Creates a controller that has not started yet.
   *
   * @param http client for calls to the state service, the cloud, other controllers and workers
   */
  Controller(Settings settings, Policy policy, EventLoop loop, HttpClient http) {
    this.settings = settings;
    this.policy = policy;
    this.loop = loop;
    this.http = http;
    ControllerMembership membership = ControllerMembership.of(settings);
    Settings.Deployment deployment = settings.deployment();
    this.store = newStoreClient(membership.controllerCount());
    CloudClient cloud =
        new CloudClient(
            loop,
            http,
            settings.services().cloud(),
            deployment.cloud().requestsPerSecond(),
            membership.controllerCount());
    this.catalog = new MachineTypeCatalog(loop, cloud, deployment.zones());
    this.replica = new Replica(loop, store, KEY_PREFIX);
    this.layout = new ShardLayout(teamNames(deployment), membership.controllerNames());
    this.election = newElection();
    this.cancellations = new Cancellations(replica, leaders::cancel);
    this.outageDetector = newOutageDetector(membership);
    this.cancellationBroadcaster =
        new CancellationBroadcaster(loop, http, membership.peerAddresses(), cancellations);
    this.transferClient =
        new MachineTransferClient(
            http,
            layout.shardCount(),
            election::leaderOf,
            membership.peerAddressByName(),
            leaders::transfer);
    JobProgress progress = new JobProgress();
    replica.addListener(machineIndex::recordChanged);
    replica.addListener(progress::onChange);
    replica.addListener(leaders::keyChanged);
    this.shardContext = newShardContext(cloud, membership.controllerCount());
    this.metricsEndpoint =
        new MetricsEndpoint(leaders, store, zoneMetrics, policy.zones().enabled());
    this.clientEndpoints = metricsEndpoint.countingResponses(newClientEndpoints(progress));
    this.peerEndpoints = newPeerEndpoints();
  }

  /** Starts reading the state service and taking part in leader elections. */
  void start() {
    catalog.start();
    replica.start();
    election.start();
    outageDetector.start();
  }

  /** Returns the handler for requests of users, workers and health checks. */
  RequestHandler clientEndpoints() {
    return clientEndpoints;
  }

  /** Returns the handler for requests of other controllers and operators. */
  RequestHandler peerEndpoints() {
    return peerEndpoints;
  }

  /** Returns the observer of the servers that pass requests to the two handlers. */
  HttpServerMonitor httpServerMonitor() {
    return metricsEndpoint.httpServerMonitor();
  }

  private static List<String> teamNames(Settings.Deployment deployment) {
    List<String> names = new ArrayList<>();
    for (Settings.Team team : deployment.teams()) {
      names.add(team.name());
    }
    return names;
  }

  private StoreClient newStoreClient(int controllerCount) {
    Settings.StateService limits = settings.deployment().stateService();
    return new StoreClient(
        loop,
        http,
        settings.services().state(),
        limits.requestsPerSecond(),
        limits.writesPerSecond(),
        limits.maxTransactionOps(),
        controllerCount);
  }

  private LeaderElection newElection() {
    double workerLeaseSeconds = settings.deployment().workers().leaseSeconds();
    return new LeaderElection(
        loop,
        store,
        replica,
        layout,
        settings.controllerName(),
        policy.leaseTermMs(),
        (long) (MS_PER_SECOND * workerLeaseSeconds),
        leaders);
  }

  private StoreOutageDetector newOutageDetector(ControllerMembership membership) {
    Settings.Workers workers = settings.deployment().workers();
    long leaseRenewalWindowMs =
        StoreOutageDetector.leaseRenewalWindowMs(workers.leaseSeconds(), workers.cancelSeconds());
    return new StoreOutageDetector(
        loop, http, store, membership.peerAddresses(), leaseRenewalWindowMs, cancellations);
  }

  private ShardContext newShardContext(CloudClient cloud, int controllerCount) {
    double heartbeatIntervalSeconds = settings.deployment().workers().heartbeatIntervalSeconds();
    DirectStopClient directStopClient = new DirectStopClient(loop, http, heartbeatIntervalSeconds);
    return new ShardContext(
        loop,
        layout,
        DeploymentSpecMapper.map(settings.deployment(), controllerCount),
        policy,
        new ShardContext.Coordination(
            store, replica, election, outageDetector, cancellations, transferClient),
        new ShardContext.MachineServices(
            cloud, catalog, machineIndex, directStopClient, new NameIndex()),
        new RunTimeEstimates(),
        new ShardContext.ZoneServices(settings.zone(), zoneMetrics));
  }

  private ShardLeader newLeader(int shard, long token) {
    return new ShardLeader(shard, token, shardContext);
  }

  private RequestRouter newClientEndpoints(JobProgress progress) {
    PendingReason pendingReason = new PendingReason(replica, layout, policy.zones().enabled());
    JobHandler jobHandler =
        new JobHandler(
            loop,
            store,
            replica,
            progress,
            cancellations,
            cancellationBroadcaster::broadcast,
            new JobAdmission(
                layout,
                settings.deployment().teams(),
                catalog,
                shardContext.deployment().store().maxValueBytes()),
            spec -> pendingReason.reasonFor(spec).orElse(null));
    ConcurrencyLimiter limiter =
        new ConcurrencyLimiter(loop, JobHandler::isSubmission, jobHandler::handle);
    return new RequestRouter()
        .post(
            "/hello",
            new HeartbeatRouter(
                settings.controllerName(), replica, machineIndex, election, leaders))
        .get("/up", new HealthCheck(replica, catalog, store, outageDetector))
        .subtree(JobHandler::handlesPath, limiter::handle);
  }

  private RequestRouter newPeerEndpoints() {
    return new RequestRouter()
        .post(
            StoreOutageDetector.PATH,
            (request, done) -> done.accept(outageDetector.handle(request)))
        .post(
            CancellationBroadcaster.PATH,
            (request, done) -> done.accept(cancellationBroadcaster.handle(request)))
        .post(MachineTransferClient.PATH, transferClient::handle)
        .get("/metrics", metricsEndpoint)
        .get(
            "/zones",
            (request, done) ->
                done.accept(ServerResponse.of(HttpStatus.OK, leaders.zoneStatuses())));
  }
}
