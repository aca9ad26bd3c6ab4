package dev.windbend.daemon;

import dev.windbend.job.Admission;
import dev.windbend.job.Cancellations;
import dev.windbend.job.JobHandler;
import dev.windbend.job.JobProgress;
import dev.windbend.job.JobRecord;
import dev.windbend.job.JobSpec;
import dev.windbend.machine.CloudClient;
import dev.windbend.machine.MachineIndex;
import dev.windbend.machine.MachineType;
import dev.windbend.machine.MachineTypeCatalog;
import dev.windbend.machine.ScaleOutRecord;
import dev.windbend.overload.ConcurrencyLimiter;
import dev.windbend.peer.MachineTransferClient;
import dev.windbend.peer.MachineTransferMessages;
import dev.windbend.peer.Peers;
import dev.windbend.plan.Estimates;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpClient;
import dev.windbend.runtime.NameIndex;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import dev.windbend.shard.DeploymentSpec;
import dev.windbend.shard.LeaderElection;
import dev.windbend.shard.Policy;
import dev.windbend.shard.ShardContext;
import dev.windbend.shard.ShardLayout;
import dev.windbend.shard.ShardLeader;
import dev.windbend.store.Replica;
import dev.windbend.store.StoreClient;
import dev.windbend.store.VersionedValue;
import dev.windbend.worker.DirectStopClient;
import dev.windbend.worker.HeartbeatReader;
import dev.windbend.worker.WorkerMessages;
import dev.windbend.zone.ZoneMetrics;
import dev.windbend.zone.ZoneRecord;
import dev.windbend.zone.ZoneState;
import dev.windbend.zone.ZoneStatus;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Measurement;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.DoubleStream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: its slices wired together, and the door to each. Runs on one loop. */
public final class Controller implements LeaderElection.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
  private static final String EVERYTHING = "w/";
  private static final long STALE_MS = 3_000;
  private static final String ZONES = "/zones";

  private final Settings settings;
  private final Policy policy;
  private final StoreClient store;
  private final CloudClient cloud;
  private final MachineTypeCatalog catalog;
  private final Replica replica;
  private final ShardLayout layout;
  private final LeaderElection election;
  private final Peers peers;
  private final MachineTransferClient transferClient;
  private final ConcurrencyLimiter gate;
  private final ShardContext shared;
  private final Estimates estimates = new Estimates();
  private final NameIndex images = new NameIndex();
  private final Map<Integer, ShardLeader> owners = new LinkedHashMap<>();
  private final MachineIndex directory = new MachineIndex();
  private final JobProgress progress = new JobProgress();
  private final ZoneMetrics zoneMetrics = new ZoneMetrics();
  private final MeterRegistry meters = new SimpleMeterRegistry();
  private final Map<Integer, Counter> answered = new HashMap<>();

  public Controller(Settings settings, Policy policy, EventLoop loop, HttpClient web) {
    this.settings = settings;
    this.policy = policy;
    Settings.Deployment f = settings.facts();
    List<String> nodes = new ArrayList<>(List.of(settings.node()));
    List<String> addresses = new ArrayList<>();
    Map<String, String> peerAddresses = new HashMap<>();
    for (Settings.Seed p : settings.peers()) {
      nodes.add(p.node());
      addresses.add(p.address());
      peerAddresses.put(p.node(), p.address());
    }
    int size = Math.max(f.nodes(), nodes.size());
    this.store =
        new StoreClient(
            loop,
            web,
            settings.services().state(),
            f.state().rps(),
            f.state().writeRps(),
            f.state().ops(),
            size);
    this.cloud = new CloudClient(loop, web, settings.services().cloud(), f.cloud().rps(), size);
    this.catalog = new MachineTypeCatalog(loop, cloud, f.zones());
    this.replica = new Replica(loop, store, EVERYTHING);
    this.layout = new ShardLayout(f.teams().stream().map(Settings.Team::name).toList(), nodes);
    long leaseMs = (long) (1000 * f.workers().leaseS());
    this.election =
        new LeaderElection(
            loop, store, replica, layout, settings.node(), policy.leaseTermMs(), leaseMs, this);
    Cancellations cancellations = new Cancellations(replica, this::cancelled);
    this.peers =
        new Peers(
            loop,
            web,
            store,
            addresses,
            Peers.keepMs(f.workers().leaseS(), f.workers().cancelS()),
            cancellations);
    JobHandler door =
        new JobHandler(
            loop,
            store,
            replica,
            progress,
            cancellations,
            peers::tell,
            this::decide,
            this::waitsFor);
    DirectStopClient directStops = new DirectStopClient(loop, web, f.workers().reportS());
    this.transferClient =
        new MachineTransferClient(
            web, layout.shards(), election::leaderOf, peerAddresses, this::transfer);
    DeploymentSpec facts = facts(settings, size);
    this.gate = new ConcurrencyLimiter(loop, JobHandler::submits, door::handle);
    replica.listen(directory::changed);
    replica.listen(progress::changed);
    replica.listen(this::changed);
    this.shared =
        new ShardContext(
            loop,
            layout,
            facts,
            policy,
            new ShardContext.Coordination(
                store, replica, election, peers, cancellations, transferClient),
            new ShardContext.MachineServices(cloud, catalog, directory, directStops, images),
            estimates,
            new ShardContext.ZoneServices(settings.zone(), zoneMetrics));
    Gauge.builder("windbend.shards", owners, Map::size).register(meters);
    Gauge.builder("windbend.jobs.live", this, n -> n.sum(ShardLeader::liveJobs)).register(meters);
    Gauge.builder("windbend.machines", this, n -> n.sum(ShardLeader::machineCount))
        .register(meters);
    Gauge.builder(
            "windbend.waiting.oldest.s",
            owners,
            all -> all.values().stream().mapToInt(ShardLeader::oldestWaitSeconds).max().orElse(0))
        .register(meters);
    Gauge.builder("windbend.store.failing.ms", store, StoreClient::failingForMs).register(meters);
  }

  private int sum(java.util.function.ToIntFunction<ShardLeader> what) {
    return owners.values().stream().mapToInt(what).sum();
  }

  private static DeploymentSpec facts(Settings settings, int size) {
    Settings.Deployment f = settings.facts();
    Map<String, double[]> dueTimes = new HashMap<>();
    Map<String, double[]> within = new HashMap<>();
    Map<String, Double> wait = new HashMap<>();
    double guaranteeS = 0;
    for (Settings.Objective o : settings.objectives()) {
      if ("guarantee".equals(o.kind()) && o.withinS() != null) {
        guaranteeS = o.withinS();
      } else if (o.jobKind() != null && "wait".equals(o.kind()) && o.withinS() != null) {
        wait.merge(o.jobKind(), o.withinS(), Math::max);
      }
      if (o.jobKind() != null && "finished".equals(o.kind()) && o.withinS() != null) {
        within.merge(o.jobKind(), new double[] {o.withinS()}, Controller::sorted);
      } else if (o.jobKind() != null && "deadline".equals(o.kind()) && o.times() != null) {
        dueTimes.merge(o.jobKind(), new double[] {o.times()}, Controller::sorted);
      }
    }
    return new DeploymentSpec(
        f.teams().stream()
            .map(
                t ->
                    new DeploymentSpec.TeamQuota(
                        t.name(), t.cores(), t.maxCores(), t.gpus(), t.maxGpus()))
            .toList(),
        size,
        new DeploymentSpec.WorkerTiming(f.workers().reportS(), f.workers().leaseS()),
        new DeploymentSpec.CloudLimits(Math.max(1, f.cloud().listLagS()), f.cloud().rps()),
        new DeploymentSpec.StoreLimits((int) (1024 * f.state().valueKb()), f.state().writeRps()),
        new DeploymentSpec.ServiceObjectives(dueTimes, within, wait, guaranteeS));
  }

  private static double[] sorted(double[] a, double[] b) {
    return DoubleStream.concat(DoubleStream.of(a), DoubleStream.of(b)).sorted().toArray();
  }

  public void start() {
    catalog.start();
    replica.start();
    election.start();
    peers.start();
  }

  // ---- ownership

  @Override
  public void elected(int shard, long token) {
    ShardLeader o = new ShardLeader(shard, token, shared);
    owners.put(shard, o);
    o.start();
  }

  @Override
  public void deposed(int shard) {
    ShardLeader o = owners.remove(shard);
    if (o != null) {
      o.close();
    }
  }

  /** An owner elsewhere, or of another shard here, lacks machines. Null: the shard is not ours. */
  private MachineTransferMessages.Reply transfer(
      int from, int to, MachineTransferMessages.Request request) {
    ShardLeader o = owners.get(from);
    return o == null ? null : o.transfer(to, request);
  }

  /** Confirmed to its user by some node. */
  private void cancelled(String uid) {
    owners.values().forEach(o -> o.cancel(uid));
  }

  private void changed(String key, VersionedValue now) {
    if (key.startsWith(JobRecord.LIVE)) {
      String uid = key.substring(JobRecord.LIVE.length());
      for (ShardLeader o : List.copyOf(owners.values())) {
        o.jobRecordChanged(uid, now);
      }
    } else if (key.startsWith(ScaleOutRecord.KEYS)) {
      for (ShardLeader o : List.copyOf(owners.values())) {
        o.machineRecordChanged(key, now);
      }
    }
  }

  // ---- doors

  /** What users, workers and health checks reach. */
  public void serve(ServerRequest request, Consumer<ServerResponse> done) {
    Consumer<ServerResponse> counted =
        a -> {
          answered
              .computeIfAbsent(
                  a.status(),
                  s ->
                      Counter.builder("windbend.answers")
                          .tag("status", Integer.toString(s))
                          .register(meters))
              .increment();
          done.accept(a);
        };
    String path = request.path();
    if (path.equals("/hello")) {
      method("POST", request, counted, () -> hello(request.body(), counted));
    } else if (path.equals("/up")) {
      method(
          "GET", request, counted, () -> counted.accept(ServerResponse.ofStatus(up() ? 200 : 503)));
    } else if (JobHandler.serves(path)) {
      gate.handle(request, counted);
    } else {
      counted.accept(ServerResponse.ofStatus(404));
    }
  }

  /** What the other nodes and operators reach. */
  public void servePeer(ServerRequest request, Consumer<ServerResponse> done) {
    switch (request.path()) {
      case Peers.PATH -> method("POST", request, done, () -> done.accept(peers.view(request)));
      case Peers.CANCELLED -> method("POST", request, done, () -> done.accept(peers.told(request)));
      case MachineTransferClient.PATH ->
          method("POST", request, done, () -> transferClient.serve(request, done));
      case "/metrics" ->
          method("GET", request, done, () -> done.accept(ServerResponse.of(200, metrics())));
      case ZONES ->
          method("GET", request, done, () -> done.accept(ServerResponse.of(200, zones())));
      default -> done.accept(ServerResponse.ofStatus(404));
    }
  }

  /** How the zones stand for each shard of this node. */
  private List<ZoneStatus> zones() {
    List<ZoneStatus> all = new ArrayList<>();
    owners.values().forEach(o -> all.addAll(o.zones()));
    return all;
  }

  /** Why a job waits, where its user should know; null: nothing to say. */
  private String waitsFor(JobSpec spec) {
    int team = layout.team(spec.team());
    if (!policy.zones().enabled() || spec.zone() == null || team < 0) {
      return null;
    }
    ZoneRecord record =
        ZoneRecord.read(replica.get(ZoneRecord.key(layout.shardOf(team), spec.zone())));
    boolean lost = record != null && record.state() == ZoneState.UNREACHABLE;
    return lost ? "zone " + spec.zone() + " is unreachable" : null;
  }

  private static void method(
      String wanted, ServerRequest request, Consumer<ServerResponse> done, Runnable handler) {
    if (request.method().equals(wanted)) {
      handler.run();
    } else {
      done.accept(ServerResponse.ofStatus(405));
    }
  }

  /** Not in an outage: then no node is better than another, and 503 says when to come back. */
  private boolean up() {
    return replica.synced()
        && catalog.known()
        && !(store.failingForMs() > STALE_MS && (peers.othersServed() || peers.alone()));
  }

  private Map<String, Double> metrics() {
    Map<String, Double> all = new TreeMap<>();
    for (Meter m : meters.getMeters()) {
      StringBuilder name = new StringBuilder(m.getId().getName());
      m.getId().getTags().forEach(t -> name.append('.').append(t.getValue()));
      for (Measurement v : m.measure()) {
        all.put(name + "." + v.getStatistic().getTagValueRepresentation(), v.getValue());
      }
    }
    if (policy.zones().enabled()) {
      all.putAll(zoneMetrics.values());
    }
    return all;
  }

  private Admission decide(JobSpec spec) {
    int team = layout.team(spec.team());
    if (team < 0) {
      return new Admission.Rejected("unknown team");
    }
    if (!catalog.known()) {
      return Admission.UNDECIDED;
    }
    Settings.Team t = settings.facts().teams().get(team);
    if (spec.cores() > t.maxCores() + 1e-9 || spec.gpus() > t.maxGpus() + 1e-9) {
      return new Admission.Rejected("one task is over the team's limit");
    }
    for (MachineType type : catalog.all()) {
      boolean named = spec.types() == null || spec.types().contains(type.name());
      boolean there =
          spec.zone() == null
              || (catalog.zones().find(spec.zone()) >= 0
                  && type.in(catalog.zones().find(spec.zone())));
      if (named && there && type.fits(spec.cores(), spec.gpus(), spec.memoryGb())) {
        return Admission.ADMITTED;
      }
    }
    return new Admission.Rejected("a task fits no allowed machine type");
  }

  // ---- workers

  private void hello(byte[] body, Consumer<ServerResponse> done) {
    if (!replica.synced()) {
      // Whose machine it is can't be told yet, and reading the report would delay the mirror.
      done.accept(ServerResponse.ofStatus(503));
      return;
    }
    WorkerMessages.Heartbeat r = HeartbeatReader.read(body);
    if (r == null) {
      done.accept(ServerResponse.ofStatus(400));
      return;
    }
    election.recordWorkerContact();
    int shard = directory.shardOf(r.machine());
    for (ShardLeader o : owners.values()) {
      if (o.ready() && o.hasMachine(r.machine())) {
        o.handleHeartbeat(r, done);
        return;
      }
    }
    LOG.debug("{} of shard {} is not ours", r.machine(), shard);
    // Unknown machines are the first shard's to take in.
    int home = Math.max(shard, 0);
    ShardLeader mine = owners.get(home);
    if (mine == null) {
      String owner = election.leaderOf(home);
      done.accept(
          owner == null || owner.equals(settings.node())
              ? ServerResponse.ofStatus(503)
              : ServerResponse.of(421, new WorkerMessages.Elsewhere(owner)));
      return;
    }
    if (shard < 0 && !directory.knew(r.machine())) {
      mine.noteOrphan(r);
    }
    done.accept(ServerResponse.ofStatus(503));
  }
}
