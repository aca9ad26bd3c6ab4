package dev.windbend.daemon;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.Json;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A state service and a cloud for the {@link Rehearsal}, in memory and for one controller: just
 * enough for it to run through its ordinary paths. Nothing is limited, no lease ends.
 */
final class TrainingServices {
  private static final long WATCH_MS = 50;
  private static final int MACHINES = 4;

  private final EventLoop loop;
  private final TreeMap<String, Map<String, Object>> pairs = new TreeMap<>();
  private final List<Map<String, Object>> changes = new ArrayList<>();
  private final List<String> machines = new ArrayList<>();
  private final Map<String, List<String>> rentals = new LinkedHashMap<>();
  private long revision = 1;

  TrainingServices(EventLoop loop) {
    this.loop = loop;
  }

  /** NameIndex of all machines that were rented. */
  List<String> machines() {
    return List.copyOf(machines);
  }

  void serve(ServerRequest request, Consumer<ServerResponse> done) {
    String path = request.path();
    if (path.equals("/follow")) {
      loop.after(WATCH_MS, () -> done.accept(follow(request)));
    } else {
      done.accept(answer(path, request));
    }
  }

  private ServerResponse answer(String path, ServerRequest request) {
    if (path.startsWith("/keys/")) {
      Map<String, Object> pair = pairs.get(path.substring("/keys/".length()));
      return pair == null
          ? ServerResponse.of(404, Map.of("ledger", revision))
          : ServerResponse.of(200, pair);
    }
    return switch (path) {
      case "/keys" -> list(request.query().get("prefix"));
      case "/txn" -> commit(tree(request));
      case "/hosts" -> request.method().equals("GET") ? listMachines() : rent(tree(request));
      case "/machine_types" -> ServerResponse.of(200, Map.of("rigs", List.of(machineType())));
      default -> ServerResponse.of(200, Map.of("permit", 1));
    };
  }

  private ServerResponse list(String prefix) {
    List<Object> found =
        new ArrayList<>(pairs.subMap(prefix, prefix + Character.MAX_VALUE).values());
    return ServerResponse.of(200, Map.of("pairs", found, "has_next", false, "ledger", revision));
  }

  private ServerResponse follow(ServerRequest request) {
    long from = Long.parseLong(request.query().get("from"));
    List<Object> newer = new ArrayList<>();
    for (Map<String, Object> change : changes) {
      if ((long) change.get("stamp") > from) {
        newer.add(change);
      }
    }
    return ServerResponse.of(200, Map.of("ledger", revision, "log", newer));
  }

  private ServerResponse commit(JsonNode transaction) {
    List<String> failed = new ArrayList<>();
    for (JsonNode condition : transaction.path("when")) {
      String key = condition.path("path").asText();
      long version = pairs.containsKey(key) ? (long) pairs.get(key).get("stamp") : 0;
      if (version != condition.path("stamp").asLong()) {
        failed.add(key);
      }
    }
    if (!failed.isEmpty()) {
      return ServerResponse.of(409, Map.of("failed", failed, "ledger", revision));
    }
    revision++;
    for (JsonNode change : transaction.path("then")) {
      apply(change);
    }
    return ServerResponse.of(200, Map.of("ledger", revision));
  }

  private void apply(JsonNode change) {
    if (change.has("remove")) {
      String key = change.path("remove").asText();
      pairs.remove(key);
      changes.add(Map.of("remove", key, "stamp", revision));
      return;
    }
    String key = change.path("set").asText();
    pairs.put(key, Map.of("path", key, "v", change.path("v"), "stamp", revision));
    changes.add(Map.of("set", key, "v", change.path("v"), "stamp", revision));
  }

  private ServerResponse rent(JsonNode request) {
    String name = request.path("hire").asText();
    if (!rentals.containsKey(name)) {
      List<String> rented = new ArrayList<>();
      for (int i = 0; i < request.path("how_many").asInt() && machines.size() < MACHINES; i++) {
        rented.add("host-" + machines.size());
        machines.add("host-" + machines.size());
      }
      rentals.put(name, rented);
    }
    List<String> rented = rentals.get(name);
    return rented.isEmpty()
        ? ServerResponse.of(503, Map.of("error", "no capacity"))
        : ServerResponse.of(200, Map.of("trucks", rented));
  }

  private ServerResponse listMachines() {
    List<Object> listed = new ArrayList<>();
    for (String machine : machines) {
      listed.add(
          Map.of(
              "uid", machine, "rig", "t", "yard", "zone", "standby", true, "status", "running",
              "age_s", 9));
    }
    return ServerResponse.of(200, Map.of("trucks", listed, "has_next", false));
  }

  private static Map<String, Object> machineType() {
    Map<String, Object> type = new LinkedHashMap<>();
    type.put("label", "t");
    type.put("cores", 8);
    type.put("cards", 0);
    type.put("ram_gb", 8);
    type.put("cache_gb", 9);
    type.put("pull_gb_per_s", 1);
    type.put("rate", 1);
    type.put("low_price", 0.5);
    type.put("ready_s", 1);
    type.put("yards", List.of("zone"));
    return type;
  }

  private static JsonNode tree(ServerRequest request) {
    try {
      return Json.tree(new JsonFactory().createParser(request.body()));
    } catch (IOException e) {
      throw new IllegalArgumentException(e);
    }
  }
}
