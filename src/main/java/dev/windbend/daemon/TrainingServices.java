package dev.windbend.daemon;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpStatus;
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
 * An in-memory state service and cloud for {@link ClassArchiveTraining}. They support only the
 * requests of a controller in normal operation, without rate limits and without expiry of leases.
 */
final class TrainingServices {
  private static final String KEY_PATH = "/keys/";
  private static final long WATCH_DELAY_MS = 50;
  private static final int MAX_MACHINES = 4;

  private final EventLoop loop;
  private final TreeMap<String, Map<String, Object>> storedValues = new TreeMap<>();
  private final List<Map<String, Object>> changes = new ArrayList<>();
  private final List<String> machineNames = new ArrayList<>();
  private final Map<String, List<String>> machinesByScaleOut = new LinkedHashMap<>();
  private long revision = 1;

  TrainingServices(EventLoop loop) {
    this.loop = loop;
  }

  /** Returns the names of all machines that were added. */
  List<String> machineNames() {
    return List.copyOf(machineNames);
  }

  /** Handles a request to either service. */
  void handle(ServerRequest request, Consumer<ServerResponse> done) {
    String path = request.path();
    if (path.equals("/follow")) {
      loop.after(WATCH_DELAY_MS, () -> done.accept(watch(request)));
    } else {
      done.accept(respond(path, request));
    }
  }

  private ServerResponse respond(String path, ServerRequest request) {
    if (path.startsWith(KEY_PATH)) {
      Map<String, Object> storedValue = storedValues.get(path.substring(KEY_PATH.length()));
      return storedValue == null
          ? ServerResponse.of(HttpStatus.NOT_FOUND, Map.of("ledger", revision))
          : ServerResponse.of(HttpStatus.OK, storedValue);
    }
    return switch (path) {
      case "/keys" -> listKeys(request.query().get("prefix"));
      case "/txn" -> commit(parseBody(request));
      case "/hosts" ->
          request.method().equals("GET") ? listMachines() : scaleOut(parseBody(request));
      case "/machine_types" ->
          ServerResponse.of(HttpStatus.OK, Map.of("rigs", List.of(machineType())));
      default -> ServerResponse.of(HttpStatus.OK, Map.of("permit", 1));
    };
  }

  private ServerResponse listKeys(String prefix) {
    List<Object> matching =
        new ArrayList<>(storedValues.subMap(prefix, prefix + Character.MAX_VALUE).values());
    return ServerResponse.of(
        HttpStatus.OK, Map.of("pairs", matching, "has_next", false, "ledger", revision));
  }

  private ServerResponse watch(ServerRequest request) {
    long from = Long.parseLong(request.query().get("from"));
    List<Object> newer = new ArrayList<>();
    for (Map<String, Object> change : changes) {
      if ((long) change.get("stamp") > from) {
        newer.add(change);
      }
    }
    return ServerResponse.of(HttpStatus.OK, Map.of("ledger", revision, "log", newer));
  }

  private ServerResponse commit(JsonNode transaction) {
    List<String> failed = new ArrayList<>();
    for (JsonNode condition : transaction.path("when")) {
      String key = condition.path("path").asText();
      long version = storedValues.containsKey(key) ? (long) storedValues.get(key).get("stamp") : 0;
      if (version != condition.path("stamp").asLong()) {
        failed.add(key);
      }
    }
    if (!failed.isEmpty()) {
      return ServerResponse.of(HttpStatus.CONFLICT, Map.of("failed", failed, "ledger", revision));
    }
    revision++;
    for (JsonNode change : transaction.path("then")) {
      apply(change);
    }
    return ServerResponse.of(HttpStatus.OK, Map.of("ledger", revision));
  }

  private void apply(JsonNode change) {
    if (change.has("remove")) {
      String key = change.path("remove").asText();
      storedValues.remove(key);
      changes.add(Map.of("remove", key, "stamp", revision));
      return;
    }
    String key = change.path("set").asText();
    storedValues.put(key, Map.of("path", key, "v", change.path("v"), "stamp", revision));
    changes.add(Map.of("set", key, "v", change.path("v"), "stamp", revision));
  }

  private ServerResponse scaleOut(JsonNode request) {
    String name = request.path("hire").asText();
    if (!machinesByScaleOut.containsKey(name)) {
      List<String> added = new ArrayList<>();
      for (int i = 0;
          i < request.path("how_many").asInt() && machineNames.size() < MAX_MACHINES;
          i++) {
        added.add("host-" + machineNames.size());
        machineNames.add("host-" + machineNames.size());
      }
      machinesByScaleOut.put(name, added);
    }
    List<String> added = machinesByScaleOut.get(name);
    return added.isEmpty()
        ? ServerResponse.of(HttpStatus.SERVICE_UNAVAILABLE, Map.of("error", "no capacity"))
        : ServerResponse.of(HttpStatus.OK, Map.of("trucks", added));
  }

  private ServerResponse listMachines() {
    List<Object> listed = new ArrayList<>();
    for (String machine : machineNames) {
      listed.add(
          Map.of(
              "uid", machine, "rig", "t", "yard", "zone", "standby", true, "status", "running",
              "age_s", 9));
    }
    return ServerResponse.of(HttpStatus.OK, Map.of("trucks", listed, "has_next", false));
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

  private static JsonNode parseBody(ServerRequest request) {
    try {
      return Json.tree(new JsonFactory().createParser(request.body()));
    } catch (IOException e) {
      throw new IllegalArgumentException(e);
    }
  }
}
