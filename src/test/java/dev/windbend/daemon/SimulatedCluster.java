package dev.windbend.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.windbend.daemon.io.Web;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;

/** Some nodes, stand-ins for all they talk to, users, and the rules, all in virtual time. */
final class SimulatedCluster {
  static final long LEASE_MS = 14_000;
  static final long REPORT_MS = 1_500;
  static final long CANCEL_MS = 30_000;
  static final long FORGOTTEN_MS = 75_000;
  static final long WAITING_MS = 90_000;

  /** A start in an answer that is under way can't be called back: that is 4 s, and the fetch. */
  static final long UNDER_WAY_MS = 4_300;

  private static final double TEAM_CORES = 40;
  private static final double MACHINE_CORES = 4;

  final VirtualTime time = new VirtualTime();
  final Random random;
  final StandInStore store = new StandInStore(time);
  final Map<String, StandInWorker> machines = new LinkedHashMap<>();
  final List<String> violations = new ArrayList<>();
  final Map<String, User> users = new LinkedHashMap<>();
  final int size;
  private final Node[] nodes;
  private final VirtualTime.ProcessLoop[] loops;
  private final Map<String, List<String>> hires = new HashMap<>();
  private final Set<String> listed = new HashSet<>();
  private final Map<String, Set<StandInWorker>> on = new HashMap<>();
  private final Set<String> finished = new HashSet<>();
  private int nextMachine;
  int capacity = 30;

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

  /** Pairs "a>b" where connections are refused at once. */
  final Set<String> refused = new HashSet<>();

  /** How much later each of a node's events happens. */
  final long[] slowMs;

  /** From then on every question must be answered within 75 s. */
  long calmFromMs = Long.MAX_VALUE;

  SimulatedCluster(long seed) {
    this(seed, 3);
  }

  SimulatedCluster(long seed, int size) {
    this.random = new Random(seed);
    this.size = size;
    this.nodes = new Node[size];
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
          new Node(
              Settings.parse(settings(i)),
              Operator.defaults(),
              loop,
              (address, method, path, body, limit, done) ->
                  callFrom(loop, "n" + i, address, method, path, body, limit, done));
    } catch (Settings.Invalid e) {
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

  private String settings(int i) {
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
              .formatted(team, TEAM_CORES));
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
      return StandInStore.JSON.readTree(body);
    } catch (java.io.IOException e) {
      return StandInStore.JSON.createObjectNode();
    }
  }

  void call(
      String from,
      String address,
      String method,
      String path,
      byte[] body,
      long limitMs,
      Consumer<Web.Reply> done) {
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
      Consumer<Web.Reply> done) {
    boolean[] over = {false};
    Consumer<Web.Reply> once =
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
    time.at(limitMs, () -> once.accept(Web.Reply.NONE));
    String to = to(address);
    if (refused.contains(from + ">" + to)) {
      time.at(1, () -> once.accept(Web.Reply.NONE));
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
          () -> deliver(from, anywhere, method, path, body, r -> {}));
    }
    if (cut.contains(from + ">" + to) || mute.contains(from) || random.nextDouble() < loss) {
      return;
    }
    if (loseCommands && path.equals("/commands")) {
      return;
    }
    if (lateCommands > 0 && path.equals("/commands") && random.nextDouble() < lateCommands) {
      time.at(
          2_000L + random.nextInt(14_000),
          () -> deliver(from, address, method, path, body, r -> {}));
      return;
    }
    boolean answerLost =
        lostWriteAnswers > 0 && path.equals("/txn") && random.nextDouble() < lostWriteAnswers;
    if (lateWrites > 0 && path.equals("/txn") && random.nextDouble() < lateWrites) {
      time.at(
          2_000L + random.nextInt(10_000),
          () -> deliver(from, address, method, path, body, r -> {}));
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
            deliver(
                from,
                address,
                method,
                path,
                body,
                r -> {
                  if (!cut.contains(to + ">" + from)
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

  private static String to(String address) {
    return address.substring(0, address.indexOf(':'));
  }

  private void deliver(
      String from,
      String address,
      String method,
      String path,
      byte[] body,
      Consumer<Web.Reply> done) {
    if (address.equals("state:1")) {
      store.handle(from, method, path, body, done);
    } else if (address.equals("cloud:1")) {
      cloud(path, body, done);
    } else if (path.equals("/commands")) {
      StandInWorker w = machines.get(to(address));
      if (w == null) {
        done.accept(Web.Reply.NONE);
      } else {
        w.command(json(body), done);
      }
    } else {
      int i = address.charAt(1) - '0';
      if (nodes[i] == null || loops[i].dead()) {
        done.accept(Web.Reply.NONE);
        return;
      }
      VirtualTime.ProcessLoop loop = loops[i];
      Consumer<Web.Answer> answer =
          a -> {
            if (!loop.dead()) {
              done.accept(new Web.Reply(a.status(), a.body()));
            }
          };
      Web.Request request =
          new Web.Request(method, path, Map.of(), body == null ? new byte[0] : body);
      Node node = nodes[i];
      loop.after(
          0,
          () -> {
            if (address.endsWith(":81")) {
              node.servePeer(request, answer);
            } else {
              node.serve(request, answer);
            }
          });
    }
  }

  // ---- cloud

  private void cloud(String path, byte[] body, Consumer<Web.Reply> done) {
    ObjectNode out = StandInStore.JSON.createObjectNode();
    if (path.equals("/machine_types")) {
      ObjectNode t = out.putArray("rigs").addObject();
      t.put("label", "t4").put("cores", 4.0).put("cards", 0.0).put("ram_gb", 16.0);
      t.put("cache_gb", 50.0).put("pull_gb_per_s", 1.0).put("rate", 2.0).put("low_price", 1.0);
      t.put("ready_s", 5.0).putArray("yards").add("a").add("b");
    } else if (path.startsWith("/hosts/return")) {
      for (JsonNode n : json(body).path("trucks")) {
        StandInWorker w = machines.remove(n.asText());
        if (w != null) {
          returned++;
          w.vanish();
          capacity++;
        }
      }
    } else if (path.startsWith("/hosts?")) {
      ArrayNode all = out.putArray("trucks");
      for (StandInWorker w : machines.values()) {
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
              new Web.Reply(503, "{\"error\":\"no capacity\"}".getBytes(StandardCharsets.UTF_8)));
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
    done.accept(StandInStore.reply(200, out));
  }

  /** A new machine; also one that nobody asked for. */
  String boot(String zone, boolean spot) {
    String name = "host-%06d".formatted(nextMachine++);
    StandInWorker w = new StandInWorker(this, name, zone, spot);
    machines.put(name, w);
    capacity--;
    time.at(bootMs + random.nextInt((int) bootSpreadMs), w::start);
    time.at(4_000, () -> listed.add(name));
    return name;
  }

  /** The cloud takes a machine without notice. */
  void take(StandInWorker w) {
    if (w != null && machines.remove(w.name) != null) {
      w.vanish();
      capacity++;
    }
  }

  // ---- rules

  void broken(String what) {
    violations.add(time.nowMs() + " " + what);
  }

  private static String uid(String drop) {
    return drop.substring(0, drop.indexOf('/'));
  }

  void started(String drop, StandInWorker w) {
    User u = users.get(uid(drop));
    Set<StandInWorker> places = on.computeIfAbsent(drop, k -> new HashSet<>());
    if (!places.isEmpty()) {
      broken("ran_twice: " + drop);
    }
    places.add(w);
    if (u == null || u.firstSentMs < 0) {
      broken("unknown task " + drop);
      return;
    }
    if (u.begunMs < 0) {
      u.begunMs = time.nowMs();
    }
    if (u.toldCancelledMs >= 0) {
      if (time.nowMs() > u.toldCancelledMs + UNDER_WAY_MS) {
        broken("started after its cancellation was confirmed: " + drop);
      }
      if (time.nowMs() > u.toldCancelledMs + CANCEL_MS) {
        broken("ran_cancelled: " + drop);
      }
    }
    if ((u.zone != null && !u.zone.equals(w.zone)) || (w.spot && !u.spot)) {
      broken("wrong_place: " + drop + " on " + w.name);
    }
    Map<String, Integer> zones = zonesOf(u);
    if (u.together && zones.size() > 1) {
      broken("wrong_place: " + drop + " apart from the others of its job");
    }
    if (u.spread && zones.get(w.zone) > (u.tasks + 1) / 2) {
      broken("wrong_place: " + drop + " makes too many in zone " + w.zone);
    }
    if (used(u.team) > limit(u.team) + 1e-6) {
      broken("quota: " + u.team + " uses " + used(u.team));
    }
  }

  /** How many tasks of a job are on machines of each zone. */
  private Map<String, Integer> zonesOf(User u) {
    Map<String, Integer> zones = new HashMap<>();
    for (Map.Entry<String, Set<StandInWorker>> e : on.entrySet()) {
      if (uid(e.getKey()).equals(u.uid)) {
        e.getValue().forEach(w -> zones.merge(w.zone, 1, Integer::sum));
      }
    }
    return zones;
  }

  private double cores(String drop) {
    User u = users.get(uid(drop));
    return u == null ? 0 : u.cores;
  }

  private static double limit(String team) {
    return team.equals("guests") ? Double.POSITIVE_INFINITY : TEAM_CORES;
  }

  private double used(String team) {
    double used = 0;
    for (Map.Entry<String, Set<StandInWorker>> e : on.entrySet()) {
      User o = users.get(uid(e.getKey()));
      if (!e.getValue().isEmpty() && o != null && o.team.equals(team)) {
        used += o.cores;
      }
    }
    return used;
  }

  /**
   * Once all troubles are over, no job is left waiting for 90 s while a machine that fits has room
   * and its team is under its limit.
   */
  private void judgeWaiting() {
    Map<String, Double> free = new HashMap<>();
    for (StandInWorker m : machines.values()) {
      free.put(m.name, m.up && !m.hung && m.recallS == null ? MACHINE_CORES : 0);
    }
    for (Map.Entry<String, Set<StandInWorker>> e : on.entrySet()) {
      e.getValue().forEach(m -> free.merge(m.name, -cores(e.getKey()), Double::sum));
    }
    for (User u : users.values()) {
      boolean accepted = !u.told.isEmpty() && !u.cancels && !u.told.equals("done");
      Map<String, Integer> zones = accepted ? zonesOf(u) : Map.of();
      boolean left = false;
      for (int i = 0; accepted && i < u.tasks; i++) {
        String drop = u.uid + "/" + i;
        left |= !finished.contains(drop) && on.getOrDefault(drop, Set.of()).isEmpty();
      }
      StandInWorker room =
          left && used(u.team) + u.cores <= limit(u.team)
              ? machines.values().stream()
                  .filter(m -> free.get(m.name) >= u.cores && mayRunOn(u, m, zones))
                  .findFirst()
                  .orElse(null)
              : null;
      if (room == null || time.nowMs() < calmFromMs) {
        u.couldStartMs = time.nowMs();
      } else if (time.nowMs() - u.couldStartMs > WAITING_MS) {
        broken("waits: " + u.uid + " while " + room.name + " has room");
        u.couldStartMs = time.nowMs();
      }
    }
    time.at(1_000, this::judgeWaiting);
  }

  void left(String drop, StandInWorker w) {
    on.get(drop).remove(w);
    User u = users.get(uid(drop));
    if (u != null && u.toldCancelledMs >= 0 && time.nowMs() > u.toldCancelledMs + CANCEL_MS) {
      broken("ran_cancelled: " + drop + " left late");
    }
  }

  private static boolean mayRunOn(User u, StandInWorker m, Map<String, Integer> zones) {
    return (u.zone == null || u.zone.equals(m.zone))
        && (u.spot || !m.spot)
        && (!u.together || zones.isEmpty() || zones.containsKey(m.zone))
        && (!u.spread || zones.getOrDefault(m.zone, 0) < (u.tasks + 1) / 2);
  }

  void completed(String drop) {
    finished.add(drop);
    User u = users.get(uid(drop));
    if (u == null) {
      return;
    }
    u.couldStartMs = time.nowMs();
    boolean last = true;
    for (int i = 0; i < u.tasks; i++) {
      last &= finished.contains(uid(drop) + "/" + i);
    }
    if (last && meetEnds) {
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

  // ---- users

  final class User {
    final String uid;
    final String team;
    final int tasks;
    final double cores;
    final String zone;
    final boolean spot;
    boolean together;
    boolean spread;

    /** Submitted with a mistake: its tasks fail on every machine. */
    boolean mistaken;

    long couldStartMs;
    boolean cancels;
    long firstSentMs = -1;
    long toldCancelledMs = -1;
    long answeredMs;
    long overSinceMs;
    long begunMs = -1;
    String told = "";

    /** Its requests do not go to this node; null: to any. */
    String notThrough;

    User(int n, int tasks, String zone, boolean spot, boolean cancels) {
      this(n, List.of("red", "blue", "green").get(n % 3), tasks, zone, spot, cancels);
    }

    /** Also of the guests, a team with neither a guarantee nor a limit. */
    User(int n, String team, int tasks, String zone, boolean spot, boolean cancels) {
      this.uid = "wk-%06d".formatted(n);
      this.team = team;
      this.tasks = tasks;
      this.cores = 1 + n % 2;
      this.zone = zone;
      this.spot = spot;
      this.cancels = cancels;
      users.put(uid, this);
    }

    void submit() {
      long sentMs = time.nowMs();
      if (firstSentMs < 0) {
        firstSentMs = time.nowMs();
      }
      ask(
          "POST",
          "/v1/jobs",
          submission(),
          5_000,
          r -> {
            if (r.status() == 201 || r.status() == 200) {
              hear(r, sentMs);
              time.at(5_000, this::poll);
              if (cancels) {
                time.at(
                    Math.max(0, cancelsFromMs - time.nowMs()) + random.nextInt(20_000),
                    this::cancel);
              }
            } else if (r.status() == 400 || r.status() == 422) {
              broken("forgotten: " + uid + " was refused with " + r.status());
            } else {
              time.at(1_000, this::submit);
            }
          });
    }

    private byte[] submission() {
      ObjectNode j = StandInStore.JSON.createObjectNode();
      j.put("uid", uid).put("fleet", "f" + tasks % 3).put("crew", team).put("shape", "batch");
      j.put("urgency", tasks % 4 == 0 ? "urgent" : "standard").put("drops", tasks);
      j.put("cores", cores).put("cards", 0.0).put("ram_gb", 1.0).put("load", "img");
      j.put("pull_gb", 0.1).put("yard", zone).put("together", together).put("spread", spread);
      j.put("standby", spot).put("haul_s", 6.0).put("waypoint_s", 0.0).put("stow_s", 0.0);
      j.put("due_s", tasks % 2 == 0 ? 60.0 : null);
      return j.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Asks about the job at every node, and submits it again, within milliseconds. */
    private void lookClosely() {
      for (int n = 0; n < size; n++) {
        int node = n;
        time.at(1 + random.nextInt(20), () -> lookAt(node, "GET", "/v1/jobs/" + uid, null));
        time.at(1 + random.nextInt(20), () -> lookAt(node, "POST", "/v1/jobs", submission()));
      }
    }

    private void lookAt(int node, String method, String path, byte[] body) {
      long sentMs = time.nowMs();
      call(
          "users",
          "n" + node + ":80",
          method,
          path,
          body,
          2_000,
          r -> {
            if (r.status() == 200) {
              hear(r, sentMs);
            } else if (r.status() == 201) {
              broken("forgotten: " + uid + " was accepted once more");
            } else if (r.status() >= 400 && r.status() < 500 && r.status() != 429) {
              broken("forgotten: " + uid + " got " + r.status() + " for " + method);
            }
          });
    }

    void poll() {
      long sentMs = time.nowMs();
      ask(
          "GET",
          "/v1/jobs/" + uid,
          null,
          2_000,
          r -> {
            if (r.status() == 404) {
              broken("forgotten: " + uid + " got 404");
            } else if (r.status() == 200) {
              hear(r, sentMs);
            } else if (time.nowMs() - Math.max(answeredMs, calmFromMs) > FORGOTTEN_MS) {
              broken("forgotten: no question about " + uid + " is answered");
            }
            time.at(5_000, this::poll);
          });
    }

    void cancel() {
      long sentMs = time.nowMs();
      ask(
          "POST",
          "/v1/jobs/" + uid + "/cancel",
          new byte[0],
          5_000,
          r -> {
            if (r.status() == 200) {
              hear(r, sentMs);
            } else {
              time.at(1_000, this::cancel);
            }
          });
    }

    private void hear(Web.Reply r, long sentMs) {
      answeredMs = time.nowMs();
      String status = json(r.body()).path("status").asText();
      boolean over = told.equals("done") || told.equals("aborted");
      if (over && !status.equals(told)) {
        if (sentMs > overSinceMs) {
          broken("went_back: " + uid + " from " + told + " to " + status);
        }
        return; // asked before it was over, and overtaken by the answer that said so
      }
      if (!over) {
        overSinceMs = time.nowMs();
      }
      if (status.equals("aborted")) {
        if (!cancels) {
          broken("went_back: " + uid + " was not cancelled by its user");
        }
        if (toldCancelledMs < 0) {
          toldCancelledMs = time.nowMs();
        }
      }
      if (status.equals("done")) {
        for (int i = 0; i < tasks; i++) {
          if (!finished.contains(uid + "/" + i)) {
            broken("not_done: " + uid + "/" + i);
          }
        }
      }
      boolean news = !told.equals(status) && (told.isEmpty() || !status.equals("running"));
      told = status;
      if (closeLooks && news) {
        lookClosely();
      }
    }

    private void ask(
        String method, String path, byte[] body, long limitMs, Consumer<Web.Reply> done) {
      int n = random.nextInt(size);
      if (("n" + n).equals(notThrough)) {
        n = (n + 1) % size;
      }
      call("users", "n" + n + ":80", method, path, body, limitMs, done);
    }
  }

  /** Users call off so many jobs that run, through any node but one; their tasks' machines. */
  List<StandInWorker> cancelNow(int count, String notThrough) {
    List<StandInWorker> all = new ArrayList<>();
    int left = count;
    for (User u : users.values()) {
      List<StandInWorker> on = machinesOf(u);
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
    User u = users.get(uid(drop));
    return u != null && u.mistaken;
  }

  private List<StandInWorker> machinesOf(User u) {
    return on.entrySet().stream()
        .filter(e -> uid(e.getKey()).equals(u.uid))
        .flatMap(e -> e.getValue().stream())
        .distinct()
        .sorted(Comparator.comparing(m -> m.name))
        .toList();
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
            broken("invented");
          }
          time.at(7_000, this::askForNothing);
        });
  }

  void begin(int jobs, long spanMs) {
    for (int i = 0; i < size; i++) {
      startNode(i);
    }
    for (int n = 0; n < jobs; n++) {
      String zone = n % 5 == 0 ? "b" : null;
      User u = new User(n, 1 + random.nextInt(tasksMost), zone, n % 7 != 0, n % 6 == 5);
      u.together = n % 8 == 3;
      u.spread = n % 8 == 6 && zone == null;
      time.at(3_000 + random.nextInt((int) spanMs), u::submit);
    }
    time.at(5_000, this::askForNothing);
    time.at(5_000, this::judgeWaiting);
  }

  List<String> unfinished() {
    List<String> all = new ArrayList<>();
    for (User u : users.values()) {
      boolean over = u.told.equals("done") || u.told.equals("aborted");
      if (!over || (u.told.equals("aborted") && runs(u))) {
        all.add(u.uid + " " + u.told);
      }
    }
    return all;
  }

  private boolean runs(User u) {
    return !machinesOf(u).isEmpty();
  }
}
