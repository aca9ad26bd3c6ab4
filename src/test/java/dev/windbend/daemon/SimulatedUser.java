package dev.windbend.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.windbend.runtime.ClientResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

/** A user who submits one job, asks about it until it is over, and may cancel it. */
final class SimulatedUser {
  private final SimulatedCluster cluster;
  final String uid;
  final String team;
  final int tasks;
  final double cores;
  final String zone;
  final boolean spot;
  boolean together;
  boolean spread;

  /** The one machine type that the job names; null: it names none. */
  String type;

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

  SimulatedUser(
      SimulatedCluster cluster, int n, int tasks, String zone, boolean spot, boolean cancels) {
    this(cluster, n, List.of("red", "blue", "green").get(n % 3), tasks, zone, spot, cancels);
  }

  /** Also of the guests, a team with neither a guarantee nor a limit. */
  SimulatedUser(
      SimulatedCluster cluster,
      int n,
      String team,
      int tasks,
      String zone,
      boolean spot,
      boolean cancels) {
    this.cluster = cluster;
    this.uid = "wk-%06d".formatted(n);
    this.team = team;
    this.tasks = tasks;
    this.cores = 1 + n % 2;
    this.zone = zone;
    this.spot = spot;
    this.cancels = cancels;
    cluster.users.put(uid, this);
  }

  /** What the user wants and has been answered. */
  ObjectNode save() {
    return FakeStateService.JSON
        .createObjectNode()
        .put("job", uid)
        .put("team", team)
        .put("tasks", tasks)
        .put("zone", zone)
        .put("spot", spot)
        .put("together", together)
        .put("spread", spread)
        .put("type", type)
        .put("cancels", cancels)
        .put("status", told)
        .put("sent_ms", firstSentMs)
        .put("begun_ms", begunMs)
        .put("cancelled_ms", toldCancelledMs);
  }

  static SimulatedUser load(SimulatedCluster cluster, JsonNode saved) {
    SimulatedUser user =
        new SimulatedUser(
            cluster,
            Integer.parseInt(saved.get("job").asText().substring("wk-".length())),
            saved.get("team").asText(),
            saved.get("tasks").asInt(),
            saved.get("zone").isNull() ? null : saved.get("zone").asText(),
            saved.get("spot").asBoolean(),
            saved.get("cancels").asBoolean());
    user.together = saved.get("together").asBoolean();
    user.spread = saved.get("spread").asBoolean();
    user.type = saved.get("type").isNull() ? null : saved.get("type").asText();
    user.told = saved.get("status").asText();
    user.firstSentMs = saved.get("sent_ms").asLong();
    user.begunMs = saved.get("begun_ms").asLong();
    user.toldCancelledMs = saved.get("cancelled_ms").asLong();
    user.answeredMs = cluster.time.nowMs();
    user.overSinceMs = cluster.time.nowMs();
    user.couldStartMs = cluster.time.nowMs();
    boolean over = user.told.equals("done") || user.told.equals("aborted");
    cluster.time.at(1_000, user.told.isEmpty() ? user::submit : user::poll);
    if (user.cancels && !over && !user.told.isEmpty()) {
      cluster.time.at(8_000, user::cancel);
    }
    return user;
  }

  void submit() {
    long sentMs = cluster.time.nowMs();
    if (firstSentMs < 0) {
      firstSentMs = cluster.time.nowMs();
    }
    ask(
        "POST",
        "/v1/jobs",
        submission(),
        5_000,
        r -> {
          if (r.status() == 201 || r.status() == 200) {
            hear(r, sentMs);
            cluster.time.at(5_000, this::poll);
            if (cancels) {
              cluster.time.at(
                  Math.max(0, cluster.cancelsFromMs - cluster.time.nowMs())
                      + cluster.random.nextInt(20_000),
                  this::cancel);
            }
          } else if (r.status() == 400 || r.status() == 422) {
            cluster.judge.broken("forgotten: " + uid + " was refused with " + r.status());
          } else {
            cluster.time.at(1_000, this::submit);
          }
        });
  }

  private byte[] submission() {
    ObjectNode j = FakeStateService.JSON.createObjectNode();
    j.put("uid", uid).put("fleet", "f" + tasks % 3).put("crew", team).put("shape", "batch");
    j.put("urgency", tasks % 4 == 0 ? "urgent" : "standard").put("drops", tasks);
    j.put("cores", cores).put("cards", 0.0).put("ram_gb", 1.0).put("load", "img");
    j.put("pull_gb", 0.1).put("yard", zone).put("together", together).put("spread", spread);
    j.put("standby", spot).put("haul_s", 6.0).put("waypoint_s", 0.0).put("stow_s", 0.0);
    j.put("due_s", tasks % 2 == 0 ? 60.0 : null);
    if (type != null) {
      j.putArray("rigs").add(type);
    }
    return j.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Asks about the job at every node, and submits it again, within milliseconds. */
  private void lookClosely() {
    for (int n = 0; n < cluster.size; n++) {
      int node = n;
      cluster.time.at(
          1 + cluster.random.nextInt(20), () -> lookAt(node, "GET", "/v1/jobs/" + uid, null));
      cluster.time.at(
          1 + cluster.random.nextInt(20), () -> lookAt(node, "POST", "/v1/jobs", submission()));
    }
  }

  private void lookAt(int node, String method, String path, byte[] body) {
    long sentMs = cluster.time.nowMs();
    cluster.call(
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
            cluster.judge.broken("forgotten: " + uid + " was accepted once more");
          } else if (r.status() >= 400 && r.status() < 500 && r.status() != 429) {
            cluster.judge.broken("forgotten: " + uid + " got " + r.status() + " for " + method);
          }
        });
  }

  void poll() {
    long sentMs = cluster.time.nowMs();
    ask(
        "GET",
        "/v1/jobs/" + uid,
        null,
        2_000,
        r -> {
          if (r.status() == 404) {
            cluster.judge.broken("forgotten: " + uid + " got 404");
          } else if (r.status() == 200) {
            hear(r, sentMs);
          } else if (cluster.time.nowMs() - Math.max(answeredMs, cluster.judge.calmFromMs)
              > InvariantChecker.FORGOTTEN_MS) {
            cluster.judge.broken("forgotten: no question about " + uid + " is answered");
          }
          cluster.time.at(5_000, this::poll);
        });
  }

  void cancel() {
    long sentMs = cluster.time.nowMs();
    ask(
        "POST",
        "/v1/jobs/" + uid + "/cancel",
        new byte[0],
        5_000,
        r -> {
          if (r.status() == 200) {
            hear(r, sentMs);
          } else {
            cluster.time.at(1_000, this::cancel);
          }
        });
  }

  private void hear(ClientResponse r, long sentMs) {
    answeredMs = cluster.time.nowMs();
    String status = cluster.json(r.body()).path("status").asText();
    boolean over = told.equals("done") || told.equals("aborted");
    if (over && !status.equals(told)) {
      if (sentMs > overSinceMs) {
        cluster.judge.broken("went_back: " + uid + " from " + told + " to " + status);
      }
      return; // asked before it was over, and overtaken by the answer that said so
    }
    if (!over) {
      overSinceMs = cluster.time.nowMs();
    }
    if (status.equals("aborted")) {
      if (!cancels) {
        cluster.judge.broken("went_back: " + uid + " was not cancelled by its user");
      }
      if (toldCancelledMs < 0) {
        toldCancelledMs = cluster.time.nowMs();
      }
    }
    if (status.equals("done")) {
      for (int i = 0; i < tasks; i++) {
        if (!cluster.judge.isFinished(uid + "/" + i)) {
          cluster.judge.broken("not_done: " + uid + "/" + i);
        }
      }
    }
    boolean news = !told.equals(status) && (told.isEmpty() || !status.equals("running"));
    told = status;
    if (cluster.closeLooks && news) {
      lookClosely();
    }
  }

  private void ask(
      String method, String path, byte[] body, long limitMs, Consumer<ClientResponse> done) {
    int n = cluster.random.nextInt(cluster.size);
    if (("n" + n).equals(notThrough)) {
      n = (n + 1) % cluster.size;
    }
    cluster.call("users", "n" + n + ":80", method, path, body, limitMs, done);
  }
}
