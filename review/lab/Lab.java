import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One run of a case: the controllers as processes of their own, with the command of the deploy file,
 * and stand-ins for the state service, the cloud, the workers and the users in this process.
 */
final class Lab implements AutoCloseable {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  final String zone = "room-a";
  final double reportS;
  final double leaseS;
  final double cancelS;
  final long seed = Long.parseLong(System.getenv().getOrDefault("SEED", "1"));
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final List<Node> nodes = new ArrayList<>();
  final Map<String, Job> jobs = new ConcurrentHashMap<>();
  final Set<String> results = Collections.synchronizedSet(new HashSet<>());
  final List<Stay> stays = Collections.synchronizedList(new ArrayList<>());
  final AtomicInteger longLines = new AtomicInteger();
  final AtomicInteger longReports = new AtomicInteger();
  private final long startedNs = System.nanoTime();
  private final BufferedWriter record;
  private final Path folder;
  private final String teamsToml;
  private String cloudAddress;
  private StateFront stateFront;
  Cloud cloud;
  StateService state;

  /** A controller. */
  static final class Node {
    String name;
    String client;
    String peer;
    Path settings;
    Process process;
  }

  /** A job as its user submitted it, with the true run time of its tasks. */
  static final class Job {
    String uid;
    String team;
    int tasks;
    double cores;
    double ramGb;
    double runS;
    String image;
    double pullGb;
    double waypointS;
    double stowS;
  }

  /** The time in which a task was on a machine; ms since the start of the run, to: -1 if it is. */
  static final class Stay {
    String drop;
    long run;
    String machine;
    long fromMs;
    long toMs = -1;
    String why;
  }

  Lab(String recordFile, String teamsToml, double reportS, double leaseS, double cancelS)
      throws IOException {
    this.record = Files.newBufferedWriter(Path.of(recordFile));
    this.folder = Files.createTempDirectory("windbend-review");
    this.teamsToml = teamsToml;
    this.reportS = reportS;
    this.leaseS = leaseS;
    this.cancelS = cancelS;
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    record("case", "seed " + seed + ", trouble " + (trouble ? "on" : "off"));
  }

  long nowMs() {
    return (System.nanoTime() - startedNs) / 1_000_000;
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  void sleepUntil(long ms) {
    sleep(Math.max(0, ms - nowMs()));
  }

  void record(String who, String what) {
    synchronized (record) {
      try {
        record.write(String.format(Locale.ROOT, "%9.3f %-11s %s%n", nowMs() / 1000.0, who, what));
        record.flush();
      } catch (IOException e) {
        // the run is over
      }
    }
  }

  /** What stands between a controller and the state service. */
  interface StateFront {
    Http.Reply handle(int node, Http.Request request) throws Exception;
  }

  /** Starts the services; the controllers are started by {@link #startNodes}. */
  void startServices(StateService stateService, Cloud cloudService, StateFront front)
      throws IOException {
    state = stateService;
    cloud = cloudService;
    stateFront = front == null ? (node, request) -> state.handle(request) : front;
    cloudAddress = "127.0.0.1:" + Http.serve(0, cloud::handle).getAddress().getPort();
  }

  /** A free port below those that the system hands to clients, so that it is free at a restart. */
  private static int freePort() throws IOException {
    while (true) {
      int port = 12_000 + (int) (18_000 * Math.random());
      try (java.net.ServerSocket socket =
          new java.net.ServerSocket(port, 1, java.net.InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (java.net.BindException e) {
        // in use: try another one
      }
    }
  }

  void startNodes(int count) throws IOException {
    for (int i = 0; i < count; i++) {
      Node node = new Node();
      node.name = "mast-" + i;
      node.client = "127.0.0.1:" + freePort();
      node.peer = "127.0.0.1:" + freePort();
      node.settings = folder.resolve(node.name + ".toml");
      nodes.add(node);
    }
    for (Node node : nodes) {
      StringBuilder toml = new StringBuilder();
      toml.append("host_name = \"").append(node.name).append("\"\n");
      toml.append("domain = \"").append(zone).append("\"\n");
      toml.append("client_listen = \"").append(node.client).append("\"\n");
      toml.append("peer_bind = \"").append(node.peer).append("\"\n");
      for (Node other : nodes) {
        if (other != node) {
          toml.append("[[seeds]]\nhost_name = \"").append(other.name).append("\"\n");
          toml.append("domain = \"").append(zone).append("\"\n");
          toml.append("addr = \"").append(other.peer).append("\"\n");
        }
      }
      toml.append("[services]\ncloud = \"").append(cloudAddress).append("\"\n");
      int index = nodes.indexOf(node);
      int statePort =
          Http.serve(0, request -> stateFront.handle(index, request)).getAddress().getPort();
      toml.append("state = \"127.0.0.1:").append(statePort).append("\"\n");
      toml.append("[facts]\nsize = ").append(count).append("\nzones = [\"").append(zone);
      toml.append("\"]\nskew_ms = 100.0\n").append(teamsToml);
      toml.append("[[facts.objectives]]\nkind = \"finished\"\nclass = \"statements\"\n");
      toml.append("within_s = 150.0\nshare = 0.9\n[[facts.objectives]]\nkind = \"guarantee\"\n");
      toml.append("within_s = 10.0\nshare = 0.94\n");
      toml.append("[facts.workers]\nreport_s = ").append(reportS).append("\nlease_s = ");
      toml.append(leaseS).append("\ngang_wait_s = 40.0\ngang_peer_s = 8.0\ncancel_s = ");
      toml.append(cancelS).append("\n[facts.state]\nrps = 150.0\nwrite_rps = 20.0\n");
      toml.append("value_kb = 4.0\ntxn_ops = 8\n[facts.cloud]\nrps = 3.0\nlist_lag_s = 4.0\n");
      toml.append("[facts.machine_limits]\ncores = 0.204\nmem_mb = 176.0\nfd_limit = 900\n");
      Files.writeString(node.settings, toml.toString());
      start(node);
    }
  }

  /** Starts a controller with the command of the deploy file. */
  void start(Node node) throws IOException {
    List<String> command = new ArrayList<>();
    for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
      if (line.startsWith("run = ")) {
        command.addAll(
            Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
      }
    }
    command.add(node.settings.toString());
    ProcessBuilder builder = new ProcessBuilder(command);
    File log = folder.resolve(node.name + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
    node.process = builder.start();
    record("platform", "starts " + node.name + ", process " + node.process.pid());
  }

  /** Kills a controller, as a crash does. */
  void kill(Node node) {
    node.process.destroyForcibly();
    try {
      node.process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    record("platform", "kills " + node.name);
  }

  /** Stops (STOP) or continues (CONT) a controller's process. */
  void signal(Node node, String signal) throws IOException, InterruptedException {
    record("platform", "signal " + signal + " to " + node.name);
    new ProcessBuilder("kill", "-" + signal, "" + node.process.pid()).start().waitFor();
  }

  boolean up(Node node) {
    return Http.call(node.client, "GET", "/up", null, 1000).status() == 200;
  }

  /** Waits until all controllers answer /up with 200. */
  boolean awaitUp(long timeoutMs) {
    long until = nowMs() + timeoutMs;
    for (Node node : nodes) {
      while (!up(node)) {
        if (nowMs() > until) {
          return false;
        }
        sleep(100);
      }
    }
    record("platform", "all controllers answer /up with 200");
    return true;
  }

  /** The controller that leads the shard according to the controllers' own log; null: none. */
  Node leader(int shard) throws IOException {
    Node leader = null;
    long highest = -1;
    for (Node node : nodes) {
      if (node.process == null || !node.process.isAlive()) {
        continue;
      }
      long token = -1;
      for (String line : Files.readAllLines(folder.resolve(node.name + ".log"))) {
        if (line.contains("shard recovered: shard=" + shard + " ")) {
          token = Long.parseLong(line.replaceAll(".* token=([0-9]+) .*", "$1"));
        } else if (line.contains("leader deposed: shard=" + shard)) {
          token = -1;
        }
      }
      if (token > highest) {
        highest = token;
        leader = node;
      }
    }
    return leader;
  }

  /** A request of a user, repeated at the next controller until one decides. */
  Http.Reply user(String method, String path, String body, long forMs) {
    long until = nowMs() + forMs;
    int next = (int) (nowMs() % nodes.size());
    while (true) {
      Node node = nodes.get(next++ % nodes.size());
      long sent = nowMs();
      Http.Reply reply =
          Http.call(node.client, method, path, body, method.equals("GET") ? 2000 : 5000);
      record(
          "user",
          method + " " + path + " at " + node.name + " -> " + reply.status() + " " + reply.body()
              + " (" + (nowMs() - sent) + " ms)");
      int status = reply.status();
      if (status == 200 || status == 201 || status == 400 || status == 404 || status == 422) {
        return reply;
      }
      if (nowMs() > until) {
        return reply;
      }
      sleep(status == 0 ? 200 : 1000);
    }
  }

  /** Submits a job; returns the final status. */
  int submit(Job job, String team, String fleet, double haulS, boolean standby) {
    return submit(job, team, fleet, "standard", haulS, standby);
  }

  /** Submits a job of the given priority; returns the final status. */
  int submit(
      Job job, String team, String fleet, String urgency, double haulS, boolean standby) {
    job.team = team;
    jobs.put(job.uid, job);
    String body =
        Json.write(
            Json.map(
                "uid", job.uid, "fleet", fleet, "crew", team, "shape", "batch", "urgency",
                urgency, "drops", job.tasks, "cores", job.cores, "cards", 0.0, "ram_gb",
                job.ramGb, "load", job.image, "pull_gb", job.pullGb, "rigs", null, "yard", null,
                "together", false, "spread", false, "standby", standby, "haul_s", haulS,
                "waypoint_s", job.waypointS, "stow_s", job.stowS, "due_s", null));
    record("user", "submits " + body);
    return user("POST", "/v1/jobs", body, 60_000).status();
  }

  String status(String uid) {
    Http.Reply reply = user("GET", "/v1/jobs/" + uid, null, 5_000);
    return reply.status() == 200 ? (String) Json.object(reply.body()).get("status") : null;
  }

  Stay taskOn(String drop, long run, String machine) {
    Stay stay = new Stay();
    stay.drop = drop;
    stay.run = run;
    stay.machine = machine;
    stay.fromMs = nowMs();
    synchronized (stays) {
      for (Stay other : stays) {
        if (other.toMs < 0 && other.drop.equals(drop)) {
          record("check", "RAN TWICE: " + drop + " on " + machine + " and on " + other.machine);
          ranTwice.incrementAndGet();
        }
      }
      stays.add(stay);
    }
    record(machine, "task on the machine: " + drop + " run " + run);
    return stay;
  }

  final AtomicInteger ranTwice = new AtomicInteger();

  void taskOff(Stay stay, String why) {
    stay.why = why;
    stay.toMs = nowMs();
    record(stay.machine, "task off the machine: " + stay.drop + " run " + stay.run + ", " + why);
  }

  /** Stays of the tasks of a job that have not ended. */
  List<Stay> onMachines(String uid) {
    List<Stay> open = new ArrayList<>();
    synchronized (stays) {
      for (Stay stay : stays) {
        if (stay.toMs < 0 && stay.drop.startsWith(uid + "/")) {
          open.add(stay);
        }
      }
    }
    return open;
  }

  int end(int code, String why) {
    String verdict = code == HELD ? "HELD" : code == BROKEN ? "BROKEN" : "COULD NOT RUN";
    record("verdict", verdict + ": " + why);
    System.out.println(verdict + ": " + why);
    return code;
  }

  /** Adds the lines of a controller's log that tell who led and which machines were given back. */
  private void recordLog(Node node) {
    try {
      for (String line : Files.readAllLines(folder.resolve(node.name + ".log"))) {
        if (line.matches(".*(leader (elected|deposed)|shard recovered|scale-in requested|"
            + "task failed|lease expired|leadership yielded).*")) {
          record(node.name, "log: " + line);
        }
      }
    } catch (IOException e) {
      // no log
    }
  }

  private boolean closed;

  @Override
  public synchronized void close() {
    if (closed) {
      return;
    }
    closed = true;
    for (Node node : nodes) {
      if (node.process != null && node.process.isAlive()) {
        node.process.destroyForcibly();
        record("platform", "ends " + node.name);
      }
    }
    for (Node node : nodes) {
      recordLog(node);
    }
    try {
      if (System.getenv("KEEP_LOGS") != null) {
        System.out.println("logs in " + folder);
        return;
      }
      try (var files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
      Files.delete(folder);
    } catch (IOException e) {
      // a leftover in the temporary folder
    }
  }

  static Job job(String uid, int tasks, double cores, double ramGb, double runS) {
    Job job = new Job();
    job.uid = uid;
    job.tasks = tasks;
    job.cores = cores;
    job.ramGb = ramGb;
    job.runS = runS;
    job.image = "img-01";
    job.pullGb = 0.06;
    return job;
  }

  static String team(String name, double cpus, double cpusMax) {
    return "[[facts.teams]]\nname = \"" + name + "\"\ncpus = " + cpus + "\ncpus_max = " + cpusMax
        + "\ngpus = 0.0\ngpus_max = 0.0\n";
  }
}
