package dev.windbend.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.windbend.runtime.ClientResponse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** A machine's worker by its published protocol. */
final class FakeWorker {
  static final long ANSWER_MS = 4_000;
  private static final long FETCH_MS = 300;

  final String name;
  final String zone;
  final boolean spot;
  private final SimulatedCluster world;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private int node;
  private long shift = 1;
  private long tally;
  private long baton;
  private long leaseFromMs;
  private long sentMs;
  private long asked;
  private boolean inFlight;
  private boolean news;
  boolean gone;
  boolean hung;

  /** Has begun to report. */
  boolean up;

  /** Fails every task that it starts. */
  boolean sick;

  Double recallS;

  private static final class Task {
    String drop;
    long run;
    String status;
    String cause;
    boolean counted;
    long hungMs;
  }

  FakeWorker(SimulatedCluster world, String name, String zone, boolean spot) {
    this.world = world;
    this.name = name;
    this.zone = zone;
    this.spot = spot;
    this.node = world.random.nextInt(world.size);
  }

  /** The machine as it is, with the tasks on it. */
  ObjectNode save() {
    ObjectNode out =
        FakeStateService.JSON
            .createObjectNode()
            .put("machine", name)
            .put("zone", zone)
            .put("spot", spot)
            .put("up", up)
            .put("controller", node)
            .put("session", shift)
            .put("report", tally)
            .put("token", baton);
    ArrayNode all = out.putArray("tasks");
    for (Task t : tasks.values()) {
      all.addObject()
          .put("task", t.drop)
          .put("attempt", t.run)
          .put("status", t.status)
          .put("cause", t.cause);
    }
    return out;
  }

  /** Goes on from what was saved: its tasks run on, and its lease has its full time. */
  void load(JsonNode saved) {
    node = saved.get("controller").asInt();
    shift = saved.get("session").asLong();
    tally = saved.get("report").asLong();
    baton = saved.get("token").asLong();
    for (JsonNode s : saved.get("tasks")) {
      Task t = new Task();
      t.drop = s.get("task").asText();
      t.run = s.get("attempt").asLong();
      t.status = s.get("status").asText();
      t.cause = s.get("cause").isNull() ? null : s.get("cause").asText();
      tasks.put(t.drop, t);
      if (t.status.equals("pulling")) {
        world.time.at(FETCH_MS, () -> begin(t));
      } else if (t.status.equals("running")) {
        t.counted = true;
        world.judge.runsAlready(t.drop, this);
        world.time.at(world.runMs(t.drop), () -> end(t));
      }
    }
    world.time.at(
        saved.get("up").asBoolean() ? world.random.nextInt(1_000) : world.bootMs, this::start);
  }

  /** The highest fencing token it has been sent. */
  long token() {
    return baton;
  }

  void start() {
    up = true;
    leaseFromMs = world.time.nowMs();
    report();
    lease();
  }

  void vanish() {
    gone = true;
    tasks.values().forEach(this::leave);
    tasks.clear();
  }

  private void lease() {
    if (gone) {
      return;
    }
    if (!hung && world.time.nowMs() - leaseFromMs > SimulatedCluster.LEASE_MS) {
      world.lapsed += tasks.isEmpty() ? 0 : 1;
      tasks.values().forEach(this::leave);
      tasks.clear();
      shift++;
      leaseFromMs = world.time.nowMs();
    }
    world.time.at(200, this::lease);
  }

  private void next(long ms) {
    long mine = ++asked;
    world.time.at(
        ms,
        () -> {
          if (mine == asked) {
            report();
          }
        });
  }

  private void report() {
    if (gone) {
      return;
    }
    if (hung) {
      next(500);
      return;
    }
    ObjectNode r =
        FakeStateService.JSON
            .createObjectNode()
            .put("truck", name)
            .put("addr", name + ":1")
            .put("rig", "t4")
            .put("yard", zone)
            .put("standby", spot)
            .put("shift", shift)
            .put("tally", ++tally)
            .put("baton", baton)
            .put("recall_s", recallS);
    ArrayNode drops = r.putArray("drops");
    for (Task t : tasks.values()) {
      drops
          .addObject()
          .put("drop", t.drop)
          .put("run", t.run)
          .put("status", t.status)
          .put("cause", t.cause);
    }
    long sent = world.time.nowMs();
    sentMs = sent;
    long inShift = shift;
    long mine = ++asked;
    boolean[] over = {false};
    inFlight = true;
    news = false;
    world.call(
        name,
        "n" + node + ":80",
        "POST",
        "/hello",
        r.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8),
        ANSWER_MS,
        reply -> {
          if (over[0] || gone || hung || mine != asked) {
            return;
          }
          over[0] = true;
          inFlight = false;
          if (reply.status() == 200) {
            execute(world.json(reply.body()), sent, inShift);
          } else if (reply.status() == 421 && world.json(reply.body()).hasNonNull("dispatcher")) {
            node = world.json(reply.body()).get("dispatcher").asText().charAt(1) - '0';
            next(300);
          } else {
            node = (node + 1) % world.size;
            next(1_000);
          }
        });
    world.time.at(
        ANSWER_MS + 10,
        () -> {
          if (!over[0] && mine == asked) {
            over[0] = true;
            inFlight = false;
            node = (node + 1) % world.size;
            next(1_000);
          }
        });
  }

  /** A direct command: what a hanging machine was sent it executes when it goes on. */
  void command(JsonNode order, Consumer<ClientResponse> done) {
    if (gone) {
      return;
    }
    if (hung) {
      world.time.at(300, () -> command(order, done));
      return;
    }
    tally++;
    if (order.path("baton").asLong(-1) < baton || order.path("shift").asLong() != shift) {
      done.accept(new ClientResponse(409, "{}".getBytes(java.nio.charset.StandardCharsets.UTF_8)));
      return;
    }
    boolean changed = order.path("baton").asLong() > baton;
    baton = order.path("baton").asLong();
    changed |= executeOrders(order);
    if (changed) {
      changed();
    }
    done.accept(new ClientResponse(200, "{}".getBytes(java.nio.charset.StandardCharsets.UTF_8)));
  }

  private void execute(JsonNode answer, long sent, long inShift) {
    long token = answer.path("baton").asLong(-1);
    next(
        SimulatedCluster.REPORT_MS * 3 / 4
            + world.random.nextInt((int) SimulatedCluster.REPORT_MS / 2));
    if (token < baton || inShift != shift) {
      return;
    }
    boolean changed = token > baton;
    baton = token;
    leaseFromMs = sent;
    changed |= executeOrders(answer);
    if (changed || news) {
      changed();
    }
  }

  private boolean executeOrders(JsonNode answer) {
    boolean changed = false;
    for (JsonNode o : answer.path("orders")) {
      String drop = o.get("drop").asText();
      long run = o.get("run").asLong();
      Task t = tasks.get(drop);
      switch (o.get("order").asText()) {
        case "start" -> changed |= start(drop, run, t);
        case "kill" -> {
          if (t != null && t.run == run && !t.status.equals("exited")) {
            exit(t, "halted");
            changed = true;
          }
        }
        default -> {
          if (t != null && t.run == run && t.status.equals("exited")) {
            tasks.remove(drop);
          }
        }
      }
    }
    return changed;
  }

  /** One report in flight at a time: what changes meanwhile is told in the next. */
  private void changed() {
    if (inFlight) {
      news = true;
    } else {
      next(Math.max(0, sentMs + 500 - world.time.nowMs()));
    }
  }

  private boolean start(String drop, long run, Task before) {
    if (before != null && before.run == run) {
      return false;
    }
    if (before != null && !before.status.equals("exited")) {
      world.judge.broken("in_use: " + drop + " is on " + name + " with another attempt");
      return false;
    }
    Task t = new Task();
    t.drop = drop;
    t.run = run;
    t.status = "pulling";
    tasks.put(drop, t);
    world.time.at(FETCH_MS, () -> begin(t));
    return true;
  }

  private void begin(Task t) {
    if (gone || tasks.get(t.drop) != t || !t.status.equals("pulling")) {
      return;
    }
    if (hung) {
      t.hungMs += FETCH_MS;
      world.time.at(FETCH_MS, () -> begin(t));
      return;
    }
    t.status = "running";
    t.counted = true;
    world.judge.started(t.drop, this, t.hungMs);
    changed();
    boolean fails = sick || world.mistaken(t.drop);
    world.time.at(fails ? 200 : world.runMs(t.drop), () -> end(t));
  }

  private void end(Task t) {
    if (gone || tasks.get(t.drop) != t || !t.status.equals("running")) {
      return;
    }
    if (hung) {
      world.time.at(300, () -> end(t));
      return;
    }
    boolean fails = sick || world.mistaken(t.drop);
    if (!fails) {
      world.completed(t.drop);
    }
    exit(t, fails ? "error" : "done");
    changed();
  }

  private void exit(Task t, String cause) {
    leave(t);
    t.status = "exited";
    t.cause = cause;
  }

  private void leave(Task t) {
    if (t.counted) {
      t.counted = false;
      world.judge.left(t.drop, this);
    }
  }

  List<String> running() {
    List<String> all = new ArrayList<>();
    for (Task t : tasks.values()) {
      if (t.counted) {
        all.add(t.drop);
      }
    }
    return all;
  }
}
