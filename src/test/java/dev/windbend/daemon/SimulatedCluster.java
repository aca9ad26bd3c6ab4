package dev.windbend.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.windbend.runtime.ClientResponse;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import dev.windbend.shard.Policy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;

/** Some nodes, stand-ins for all they talk to, users, and the rules, all in virtual time. */
final class SimulatedCluster {
  static final long LEASE_MS = 14_000;
  static final long REPORT_MS = 1_500;
  static final long CANCEL_MS = 30_000;

  static final double TEAM_CORES = 40;
  static final double MACHINE_CORES = 4;

  final VirtualTime time = new VirtualTime();
  final Random random;
  final FakeStateService store = new FakeStateService(time);
  final Map<String, FakeWorker> machines = new LinkedHashMap<>();
  final InvariantChecker judge = new InvariantChecker(this);
  final Map<String, SimulatedUser> users = new LinkedHashMap<>();
  final int size;
  private final Controller[] nodes;
  private final VirtualTime.ProcessLoop[] loops;
  private final Map<String, List<String>> hires = new HashMap<>();
  private final Set<String> listed = new HashSet<>();
  private int nextMachine;
  int capacity = 30;

  /** Takes a message that is not lost to its receiver. */
  interface Delivery {
    void deliver(
        String from,
        String address,
        String method,
        String path,
        byte[] body,
        Consumer<ClientResponse> done);
  }

  /** How messages of workers and users reach the nodes. */
  Delivery delivery = this::deliver;

  /** Sees all that the nodes send; changes nothing. */
  MessageRecorder recorder = MessageRecorder.NONE;

  /** What each team but the guests may use at most. */
  double teamCores = TEAM_CORES;

  /** The operators' settings of all nodes. */
  Policy policy = OperatorSettings.defaults();

  /** Machines that nodes have given back. */
  int returned;

  /** Chances that a message is lost, answered but unheard, or comes late. */
  double loss = 0.002;

  double late = 0.002;

  /**
   * Chance that a change of the state service gets no answer and is carried out 2 to 12 s later.
   */
  double lateWrites;

  /** Chance that a change of the state service is carried out at once and its answer is lost. */
  double lostWriteAnswers;

  /** Chance that a direct command is held up, unanswered, and carried out 2 to 16 s later. */
  double lateCommands;

  /** Users look at all nodes within milliseconds after a job was accepted, ended or cancelled. */
  boolean closeLooks;

  /** A new machine is up after this time at least, and up to as much more. */
  long bootMs = 3_000;

  long bootSpreadMs = 4_000;

  /** The newest report of each machine; kept of those that are gone, too. */
  private final Map<String, byte[]> newestReports = new LinkedHashMap<>();

  /** The state service takes up to so much longer for each request. */
  long slowStoreMs;

  /** A message between a worker and a node takes up to so much longer. */
  long slowLinkMs;

  /** An end of a job's last task is met by its user's cancellation, question and repetition. */
  boolean meetEnds;

  /** Direct commands get lost. */
  boolean loseCommands;

  /** Machines that can open no connection to any node. */
  final Set<String> mute = new HashSet<>();

  /** Chance that a copy of a report comes once more to any node, up to so much later. */
  double copies;

  long copyMs = 45_000;

  /** Every task runs for so much longer than the least. */
  long leastRunMs;

  /** Each task of a job runs for so much longer than the one before. */
  long farApartMs;

  /** How long a task runs. */
  ToLongFunction<String> runs = this::usualRunMs;

  /** Jobs have so many tasks at most. */
  int tasksMost = 12;

  /** Nobody cancels a job before this time. */
  long cancelsFromMs;

  /** Machines whose lease ended with tasks on them. */
  int lapsed;

  /** Pairs "a>b" that can't talk: sends hang. */
  final Set<String> cut = new HashSet<>();

  /** Whether messages from one to another are lost, beside the pairs that can't talk. */
  BiPredicate<String, String> linkCut = (from, to) -> false;

  /** Pairs "a>b" where connections are refused at once. */
  final Set<String> refused = new HashSet<>();

  /** How much later each of a node's events happens. */
  final long[] slowMs;

  SimulatedCluster(long seed) {
    this(seed, 3);
  }

  SimulatedCluster(long seed, int size) {
    this.random = new Random(seed);
    this.size = size;
    this.nodes = new Controller[size];
    this.loops = new VirtualTime.ProcessLoop[size];
    this.slowMs = new long[size];
  }

  // ---- nodes

  void startNode(int i) {
    VirtualTime.ProcessLoop loop =
        time.new ProcessLoop(random.nextInt(1_000_000), random.nextInt(200) - 100, () -> slowMs[i]);
    loops[i] = loop;
    try {
      nodes[i] =
          new Controller(
              SettingsReader.parse(settings(i)),
              policy,
              loop,
              (address, method, path, body, limit, done) -> {
                recorder.requested("n" + i, address, method, path, body, limit);
                callFrom(loop, "n" + i, address, method, path, body, limit, done);
              });
    } catch (InvalidSettingsException e) {
      throw new AssertionError(e);
    }
    loop.after(1_000, nodes[i]::start);
  }

  void kill(int i, long backMs) {
    if (nodes[i] == null) {
      return;
    }
    loops[i].kill();
    nodes[i] = null;
    time.at(backMs, () -> startNode(i));
  }

  void standStill(int i, long forMs) {
    if (loops[i] != null) {
      loops[i].standStill(forMs);
    }
  }

  String settings(int i) {
    StringBuilder s = new StringBuilder();
    s.append("host_name = \"n%d\"\ndomain = \"a\"\n".formatted(i));
    s.append("client_listen = \"n%1$d:80\"\npeer_bind = \"n%1$d:81\"\n".formatted(i));
    for (int p = 0; p < size; p++) {
      if (p != i) {
        s.append("[[seeds]]\nhost_name = \"n%1$d\"\naddr = \"n%1$d:81\"\n".formatted(p));
      }
    }
    s.append("[services]\ncloud = \"cloud:1\"\nstate = \"state:1\"\n[facts]\n");
    s.append("size = %d\n".formatted(size));
    s.append("zones = [\"a\", \"b\"]\n");
    for (String team : List.of("red", "blue", "green")) {
      s.append(
          "[[facts.teams]]\nname = \"%s\"\ncpus = 16.0\ncpus_max = %s\ngpus = 0.0\ngpus_max = 0.0\n"
              .formatted(team, teamCores));
    }
    s.append("[[facts.teams]]\nname = \"guests\"\ncpus = 0.0\ncpus_max = 0.0\n");
    s.append("[facts.workers]\nreport_s = 1.5\nlease_s = 14.0\ncancel_s = 30.0\n");
    s.append("[facts.state]\nrps = 150.0\nwrite_rps = 40.0\nvalue_kb = 4.0\ntxn_ops = 8\n");
    s.append("[facts.cloud]\nrps = 6.0\nlist_lag_s = 4.0\n");
    return s.toString();
  }

  // ---- network

  JsonNode json(byte[] body) {
    try {
      return FakeStateService.JSON.readTree(body);
    } catch (java.io.IOException e) {
      return FakeStateService.JSON.createObjectNode();
    }
  }

  void call(
      String from,
      String address,
      String method,
      String path,
      byte[] body,
      long limitMs,
      Consumer<ClientResponse> done) {
    callFrom(null, from, address, method, path, body, limitMs, done);
  }

  private void callFrom(
      VirtualTime.ProcessLoop caller,
      String from,
      String address,
      String method,
      String path,
      byte[] body,
      long limitMs,
      Consumer<ClientResponse> done) {
    boolean[] over = {false};
    Consumer<ClientResponse> once =
        r -> {
          if (over[0]) {
            return;
          }
          over[0] = true;
          if (caller == null) {
            done.accept(r);
          } else {
            caller.run(() -> done.accept(r));
          }
        };
    time.at(limitMs, () -> once.accept(ClientResponse.NO_RESPONSE));
    String to = to(address);
    if (refused.contains(from + ">" + to)) {
      time.at(1, () -> once.accept(ClientResponse.NO_RESPONSE));
      return;
    }
    if (path.equals("/hello")) {
      newestReports.put(from, body);
    }
    if (path.equals("/hello") && copies > 0 && random.nextDouble() < copies) {
      // A late copy: nobody waits for its answer.
      String anywhere = "n" + random.nextInt(size) + ":80";
      time.at(
          1_000L + random.nextInt((int) copyMs),
          () -> delivery.deliver(from, anywhere, method, path, body, r -> {}));
    }
    if (cut.contains(from + ">" + to)
        || linkCut.test(from, to)
        || mute.contains(from)
        || random.nextDouble() < loss) {
      return;
    }
    if (loseCommands && path.equals("/commands")) {
      return;
    }
    if (lateCommands > 0 && path.equals("/commands") && random.nextDouble() < lateCommands) {
      time.at(
          2_000L + random.nextInt(14_000),
          () -> delivery.deliver(from, address, method, path, body, r -> {}));
      return;
    }
    boolean answerLost =
        lostWriteAnswers > 0 && path.equals("/txn") && random.nextDouble() < lostWriteAnswers;
    if (lateWrites > 0 && path.equals("/txn") && random.nextDouble() < lateWrites) {
      time.at(
          2_000L + random.nextInt(10_000),
          () -> delivery.deliver(from, address, method, path, body, r -> {}));
      return;
    }
    long wait = 1L + random.nextInt(10);
    if (slowStoreMs > 0 && to.equals("state")) {
      wait += random.nextInt((int) slowStoreMs);
    }
    if (slowLinkMs > 0 && path.equals("/hello")) {
      wait += random.nextInt((int) slowLinkMs);
    }
    if (random.nextDouble() < late) {
      wait += random.nextInt(30_000);
    }
    time.at(
        wait,
        () ->
            delivery.deliver(
                from,
                address,
                method,
                path,
                body,
                r -> {
                  if (!cut.contains(to + ">" + from)
                      && !linkCut.test(to, from)
                      && !answerLost
                      && random.nextDouble() >= loss) {
                    time.at(1 + random.nextInt(10), () -> once.accept(r));
                  }
                }));
  }

  /** What the machines reported last, to be delivered later. */
  Map<String, byte[]> reports() {
    return new LinkedHashMap<>(newestReports);
  }

  /** Old reports reach every node; nobody waits for the answers. */
  void deliverAgain(Map<String, byte[]> reports) {
    reports.forEach(
        (machine, report) -> {
          for (int n = 0; n < size; n++) {
            deliver(machine, "n" + n + ":80", "POST", "/hello", report, r -> {});
          }
        });
  }

  static String to(String address) {
    return address.substring(0, address.indexOf(':'));
  }

  void deliver(
      String from,
      String address,
      String method,
      String path,
      byte[] body,
      Consumer<ClientResponse> done) {
    if (address.equals("state:1")) {
      store.handle(from, method, path, body, done);
    } else if (address.equals("cloud:1")) {
      cloud(path, body, done);
    } else if (path.equals("/commands")) {
      FakeWorker w = machines.get(to(address));
      if (w == null) {
        done.accept(ClientResponse.NO_RESPONSE);
      } else {
        w.command(json(body), done);
      }
    } else {
      int i = address.charAt(1) - '0';
      if (nodes[i] == null || loops[i].dead()) {
        done.accept(ClientResponse.NO_RESPONSE);
        return;
      }
      VirtualTime.ProcessLoop loop = loops[i];
      ServerRequest request =
          new ServerRequest(method, path, Map.of(), body == null ? new byte[0] : body);
      Consumer<ServerResponse> answer =
          a -> {
            if (!loop.dead()) {
              recorder.answered("n" + i, from, request, a);
              done.accept(new ClientResponse(a.status(), a.body()));
            }
          };
      Controller node = nodes[i];
      loop.after(
          0,
          () -> {
            if (address.endsWith(":81")) {
              node.peerEndpoints().handle(request, answer);
            } else {
              node.clientEndpoints().handle(request, answer);
            }
          });
    }
  }

  // ---- cloud

  private void cloud(String path, byte[] body, Consumer<ClientResponse> done) {
    ObjectNode out = FakeStateService.JSON.createObjectNode();
    if (path.equals("/machine_types")) {
      ObjectNode t = out.putArray("rigs").addObject();
      t.put("label", "t4").put("cores", 4.0).put("cards", 0.0).put("ram_gb", 16.0);
      t.put("cache_gb", 50.0).put("pull_gb_per_s", 1.0).put("rate", 2.0).put("low_price", 1.0);
      t.put("ready_s", 5.0).putArray("yards").add("a").add("b");
    } else if (path.startsWith("/hosts/return")) {
      for (JsonNode n : json(body).path("trucks")) {
        FakeWorker w = machines.remove(n.asText());
        if (w != null) {
          returned++;
          w.vanish();
          capacity++;
        }
      }
    } else if (path.startsWith("/hosts?")) {
      ArrayNode all = out.putArray("trucks");
      for (FakeWorker w : machines.values()) {
        if (listed.contains(w.name)) {
          all.addObject()
              .put("uid", w.name)
              .put("rig", "t4")
              .put("yard", w.zone)
              .put("standby", w.spot)
              .put("status", "running")
              .put("age_s", 10.0);
        }
      }
      out.put("has_next", false);
    } else {
      JsonNode r = json(body);
      String hire = r.get("hire").asText();
      if (!hires.containsKey(hire)) {
        int n = Math.min(capacity, r.get("how_many").asInt());
        if (n == 0) {
          done.accept(
              new ClientResponse(
                  503, "{\"error\":\"no capacity\"}".getBytes(StandardCharsets.UTF_8)));
          return;
        }
        List<String> names = new ArrayList<>();
        for (int i = 0; i < n; i++) {
          names.add(boot(r.get("yard").asText(), r.get("standby").asBoolean()));
        }
        hires.put(hire, names);
      }
      ArrayNode all = out.putArray("trucks");
      hires.get(hire).forEach(all::add);
    }
    done.accept(FakeStateService.reply(200, out));
  }

  /** A new machine; also one that nobody asked for. */
  String boot(String zone, boolean spot) {
    String name = "host-%06d".formatted(nextMachine++);
    FakeWorker w = new FakeWorker(this, name, zone, spot);
    machines.put(name, w);
    capacity--;
    time.at(bootMs + random.nextInt((int) bootSpreadMs), w::start);
    time.at(4_000, () -> listed.add(name));
    return name;
  }

  /** The cloud takes a machine without notice. */
  void take(FakeWorker w) {
    if (w != null && machines.remove(w.name) != null) {
      w.vanish();
      capacity++;
    }
  }

  /** A task has completed; the end of a job may be met by its user. */
  void completed(String drop) {
    if (judge.completed(drop) && meetEnds) {
      SimulatedUser u = users.get(InvariantChecker.uid(drop));
      u.cancels |= random.nextInt(3) == 0;
      for (int i = 0; i < 6; i++) {
        Runnable what = i % 3 == 0 ? u::submit : i % 3 == 1 || !u.cancels ? u::poll : u::cancel;
        time.at(random.nextInt(1_500), what);
      }
    }
  }

  long runMs(String drop) {
    return runs.applyAsLong(drop);
  }

  static int task(String drop) {
    return Integer.parseInt(drop.substring(drop.indexOf('/') + 1));
  }

  private long usualRunMs(String drop) {
    return leastRunMs + task(drop) * farApartMs + 2_000 + Math.floorMod(drop.hashCode(), 9_000);
  }

  /** Users call off so many jobs that run, through any node but one; their tasks' machines. */
  List<FakeWorker> cancelNow(int count, String notThrough) {
    List<FakeWorker> all = new ArrayList<>();
    int left = count;
    for (SimulatedUser u : users.values()) {
      List<FakeWorker> on = judge.machinesOf(u);
      if (left > 0 && !on.isEmpty() && !u.cancels && !u.told.equals("done")) {
        left--;
        u.cancels = true;
        u.notThrough = notThrough;
        u.cancel();
        all.addAll(on);
      }
    }
    return all;
  }

  /** Jobs told to be cancelled that still have tasks on machines. */
  List<String> cancelledStillOn() {
    return users.values().stream()
        .filter(u -> u.toldCancelledMs >= 0 && runs(u))
        .map(u -> u.uid)
        .toList();
  }

  boolean mistaken(String drop) {
    SimulatedUser u = users.get(InvariantChecker.uid(drop));
    return u != null && u.mistaken;
  }

  boolean inZone(String name, String zone) {
    FakeWorker machine = machines.get(name);
    return machine != null && machine.zone.equals(zone);
  }

  /** The node that holds a shard's claim; null: none does. */
  String owner(int shard) {
    JsonNode claim = store.value("w/c/" + shard);
    return claim == null ? null : claim.path("owner").asText();
  }

  /** Asks about a job that nobody has submitted. */
  void askForNothing() {
    call(
        "users",
        "n" + random.nextInt(size) + ":80",
        "GET",
        "/v1/jobs/wk-999999",
        null,
        2_000,
        r -> {
          if (r.status() == 200) {
            judge.broken("invented");
          }
          time.at(7_000, this::askForNothing);
        });
  }

  /** All but the nodes: what the state service, the machines, the cloud and the users hold. */
  ObjectNode save() {
    ObjectNode out =
        FakeStateService.JSON
            .createObjectNode()
            .put("now_ms", time.nowMs())
            .put("capacity", capacity)
            .put("next_machine", nextMachine);
    out.set("store", store.save());
    ArrayNode workers = out.putArray("machines");
    machines.values().forEach(w -> workers.add(w.save().put("listed", listed.contains(w.name))));
    ObjectNode requests = out.putObject("rented");
    new TreeMap<>(hires).forEach((hire, names) -> names.forEach(requests.putArray(hire)::add));
    ArrayNode all = out.putArray("users");
    users.values().stream().filter(u -> u.firstSentMs >= 0).forEach(u -> all.add(u.save()));
    judge.finished().forEach(out.putArray("finished")::add);
    return out;
  }

  /** Goes on from what was saved, at the same time of day; the nodes are to be started. */
  void load(JsonNode saved) {
    time.runUntil(saved.get("now_ms").asLong());
    capacity = saved.get("capacity").asInt();
    nextMachine = saved.get("next_machine").asInt();
    saved.get("users").forEach(u -> SimulatedUser.load(this, u));
    saved.get("finished").forEach(drop -> judge.finishedAlready(drop.asText()));
    saved
        .get("rented")
        .properties()
        .forEach(
            e -> {
              List<String> names = new ArrayList<>();
              e.getValue().forEach(name -> names.add(name.asText()));
              hires.put(e.getKey(), names);
            });
    for (JsonNode m : saved.get("machines")) {
      String name = m.get("machine").asText();
      FakeWorker w = new FakeWorker(this, name, m.get("zone").asText(), m.get("spot").asBoolean());
      machines.put(name, w);
      if (m.get("listed").asBoolean()) {
        listed.add(name);
      } else {
        time.at(4_000, () -> listed.add(name));
      }
      w.load(m);
    }
    store.load(saved.get("store"));
    time.at(5_000, this::askForNothing);
    time.at(5_000, judge::judgeWaiting);
  }

  void begin(int jobs, long spanMs) {
    for (int i = 0; i < size; i++) {
      startNode(i);
    }
    beginUsers(jobs, spanMs);
  }

  /** Jobs come within a span of time, and are asked about. */
  void beginUsers(int jobs, long spanMs) {
    for (int n = 0; n < jobs; n++) {
      String zone = n % 5 == 0 ? "b" : null;
      SimulatedUser u =
          new SimulatedUser(this, n, 1 + random.nextInt(tasksMost), zone, n % 7 != 0, n % 6 == 5);
      u.together = n % 8 == 3;
      u.spread = n % 8 == 6 && zone == null;
      time.at(3_000 + random.nextInt((int) spanMs), u::submit);
    }
    time.at(5_000, this::askForNothing);
    time.at(5_000, judge::judgeWaiting);
  }

  List<String> unfinished() {
    List<String> all = new ArrayList<>();
    for (SimulatedUser u : users.values()) {
      boolean over = u.told.equals("done") || u.told.equals("aborted");
      if (!over || (u.told.equals("aborted") && runs(u))) {
        all.add(u.uid + " " + u.told);
      }
    }
    return all;
  }

  private boolean runs(SimulatedUser u) {
    return !judge.machinesOf(u).isEmpty();
  }
}
