package dev.windbend.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.windbend.runtime.ClientResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The state service by its published protocol. */
final class FakeStateService {
  static final ObjectMapper JSON = new ObjectMapper();

  private static final int TXN_OPS = 8;
  private static final int CONDITIONS_PER_OP = 4;
  private static final int VALUE_BYTES = 4_096;

  private record Value(JsonNode v, long stamp, long permit) {}

  private record Change(String key, JsonNode v, long stamp) {}

  private final VirtualTime time;
  private final TreeMap<String, Value> keys = new TreeMap<>();
  private final List<Change> log = new ArrayList<>();
  private final Map<Long, long[]> holds = new HashMap<>();
  private final List<Runnable> watchers = new ArrayList<>();
  private long ledger;
  private long nextHold = 1;
  private long forgotten;
  boolean outage;

  /** These nodes alone get 503. */
  final Set<String> deaf = new HashSet<>();

  /** Changes of keys that start so are refused; none if empty. */
  String holdWrites = "";

  int largestValue;

  FakeStateService(VirtualTime time) {
    this.time = time;
  }

  /** How many changes have been made so far. */
  long changes() {
    return ledger;
  }

  int liveKeys(String prefix) {
    return keys.subMap(prefix, prefix + '\uffff').size();
  }

  /** The value of a key, null if there is none. */
  JsonNode value(String key) {
    Value v = keys.get(key);
    return v == null ? null : v.v;
  }

  /** How often a text stands in the values below a prefix. */
  int timesNamed(String prefix, String text) {
    int n = 0;
    for (Value v : keys.subMap(prefix, prefix + '\uffff').values()) {
      n += v.v.toString().split(text, -1).length - 1;
    }
    return n;
  }

  /** All keys with their versions and leases, and all leases with the time left to them. */
  ObjectNode save() {
    ObjectNode out = JSON.createObjectNode().put("revision", ledger).put("next_lease", nextHold);
    ArrayNode leases = out.putArray("leases");
    new TreeMap<>(holds)
        .forEach(
            (id, h) ->
                leases
                    .addObject()
                    .put("id", id)
                    .put("life_ms", h[0])
                    .put("left_ms", h[1] - time.nowMs()));
    ArrayNode all = out.putArray("keys");
    keys.forEach(
        (key, value) ->
            all.addObject()
                .put("key", key)
                .put("version", value.stamp)
                .put("lease", value.permit)
                .set("value", value.v));
    return out;
  }

  /** Goes on from what was saved; what changed before can be followed no more. */
  void load(JsonNode saved) {
    ledger = saved.get("revision").asLong();
    forgotten = ledger;
    nextHold = saved.get("next_lease").asLong();
    for (JsonNode k : saved.get("keys")) {
      Value value = new Value(k.get("value"), k.get("version").asLong(), k.get("lease").asLong());
      keys.put(k.get("key").asText(), value);
    }
    for (JsonNode l : saved.get("leases")) {
      long id = l.get("id").asLong();
      long endMs = time.nowMs() + l.get("left_ms").asLong();
      holds.put(id, new long[] {l.get("life_ms").asLong(), endMs});
      watchHold(id);
    }
  }

  /** An outage ends: every hold has its full time again. */
  void recover() {
    outage = false;
    holds.values().forEach(h -> h[1] = time.nowMs() + h[0]);
    holds.keySet().forEach(this::watchHold);
  }

  /** Old changes can be followed no more. */
  void forgetChanges() {
    forgotten = ledger;
  }

  void handle(String from, String method, String path, byte[] body, Consumer<ClientResponse> done) {
    if (path.startsWith("/follow")) {
      follow(from, path, done);
      return;
    }
    if (unserved(from)) {
      done.accept(new ClientResponse(503, "{}".getBytes(StandardCharsets.UTF_8)));
      return;
    }
    try {
      done.accept(answer(path, body));
    } catch (java.io.IOException e) {
      done.accept(new ClientResponse(400, "{}".getBytes(StandardCharsets.UTF_8)));
    }
  }

  private boolean unserved(String node) {
    return outage || deaf.contains(node);
  }

  private ClientResponse answer(String path, byte[] body) throws java.io.IOException {
    if (path.startsWith("/keys?")) {
      String prefix = query(path, "prefix");
      String after = query(path, "from");
      int limit = Integer.parseInt(query(path, "limit"));
      ObjectNode page = JSON.createObjectNode();
      ArrayNode pairs = page.putArray("pairs");
      boolean more = false;
      for (Map.Entry<String, Value> e : keys.tailMap(prefix, true).entrySet()) {
        if (!e.getKey().startsWith(prefix) || e.getKey().compareTo(after) <= 0) {
          continue;
        }
        if (pairs.size() == limit) {
          more = true;
          break;
        }
        pairs.add(pair(e.getKey(), e.getValue()));
      }
      page.put("has_next", more).put("ledger", ledger);
      return reply(200, page);
    }
    if (path.startsWith("/keys/")) {
      Value v = keys.get(path.substring(6));
      return v == null
          ? reply(404, JSON.createObjectNode().put("ledger", ledger))
          : reply(200, pair(path.substring(6), v));
    }
    if (path.equals("/txn")) {
      return txn(JSON.readTree(body));
    }
    if (path.equals("/holds")) {
      long id = nextHold++;
      long life = JSON.readTree(body).get("life_ms").asLong();
      holds.put(id, new long[] {life, time.nowMs() + life});
      watchHold(id);
      return reply(200, JSON.createObjectNode().put("permit", id));
    }
    if (path.endsWith("/renew")) {
      long[] h = holds.get(Long.parseLong(path.split("/", -1)[2]));
      if (h == null) {
        return new ClientResponse(404, "{}".getBytes(StandardCharsets.UTF_8));
      }
      h[1] = time.nowMs() + h[0];
      return new ClientResponse(200, "{}".getBytes(StandardCharsets.UTF_8));
    }
    return new ClientResponse(400, "{}".getBytes(StandardCharsets.UTF_8));
  }

  /** The protocol's limits on a transaction, as the simulated deployments set them. */
  private static boolean tooLarge(JsonNode transaction) {
    for (JsonNode change : transaction.path("then")) {
      if (change.path("v").toString().length() > VALUE_BYTES) {
        return true;
      }
    }
    return transaction.path("then").size() > TXN_OPS
        || transaction.path("when").size() > CONDITIONS_PER_OP * TXN_OPS;
  }

  private ClientResponse txn(JsonNode t) {
    if (tooLarge(t)) {
      return new ClientResponse(
          400, "{\"error\":\"too many operations\"}".getBytes(StandardCharsets.UTF_8));
    }
    ObjectNode out = JSON.createObjectNode();
    ArrayNode failed = JSON.createArrayNode();
    for (JsonNode c : t.path("when")) {
      Value v = keys.get(c.get("path").asText());
      if ((v == null ? 0 : v.stamp) != c.get("stamp").asLong()) {
        failed.add(c.get("path"));
      }
    }
    if (!failed.isEmpty()) {
      out.set("failed", failed);
      return reply(409, out.put("ledger", ledger));
    }
    for (JsonNode c : t.path("then")) {
      if (c.has("permit") && !holds.containsKey(c.get("permit").asLong())) {
        return new ClientResponse(
            400, "{\"error\":\"no such lease\"}".getBytes(StandardCharsets.UTF_8));
      }
    }
    for (JsonNode c : t.path("then")) {
      if (!holdWrites.isEmpty() && c.path("set").asText().startsWith(holdWrites)) {
        return new ClientResponse(429, "{}".getBytes(StandardCharsets.UTF_8));
      }
    }
    ledger++;
    for (JsonNode c : t.path("then")) {
      if (c.has("set")) {
        String key = c.get("set").asText();
        largestValue = Math.max(largestValue, c.get("v").toString().length());
        keys.put(key, new Value(c.get("v"), ledger, c.path("permit").asLong(-1)));
        log.add(new Change(key, c.get("v"), ledger));
      } else {
        String key = c.get("remove").asText();
        keys.remove(key);
        log.add(new Change(key, null, ledger));
      }
    }
    wake();
    return reply(200, out.put("ledger", ledger));
  }

  private void watchHold(long id) {
    long[] h = holds.get(id);
    time.at(
        h[1] - time.nowMs() + 50,
        () -> {
          if (outage || holds.get(id) != h) {
            return;
          }
          if (h[1] <= time.nowMs()) {
            holds.remove(id);
            for (String k : List.copyOf(keys.keySet())) {
              if (keys.get(k).permit == id) {
                keys.remove(k);
                log.add(new Change(k, null, ++ledger));
              }
            }
            wake();
          } else {
            watchHold(id);
          }
        });
  }

  private void follow(String node, String path, Consumer<ClientResponse> done) {
    long from = Long.parseLong(query(path, "from"));
    String prefix = query(path, "prefix");
    boolean[] answered = {false};
    Runnable look =
        () -> {
          if (answered[0] || unserved(node)) {
            return;
          }
          if (from < forgotten) {
            answered[0] = true;
            done.accept(new ClientResponse(410, "{}".getBytes(StandardCharsets.UTF_8)));
            return;
          }
          ArrayNode events = JSON.createArrayNode();
          for (Change c : log) {
            if (c.stamp > from && c.key.startsWith(prefix)) {
              ObjectNode e = JSON.createObjectNode().put("stamp", c.stamp);
              if (c.v == null) {
                e.put("remove", c.key);
              } else {
                e.put("set", c.key).set("v", c.v);
              }
              events.add(e);
            }
          }
          if (!events.isEmpty()) {
            answered[0] = true;
            ObjectNode out = JSON.createObjectNode().put("ledger", ledger);
            out.set("log", events);
            done.accept(reply(200, out));
          }
        };
    watchers.add(look);
    look.run();
    timeOut(node, look, answered, Long.parseLong(query(path, "block_ms")), done);
  }

  /** Open watches remain open through an outage. */
  private void timeOut(
      String node, Runnable look, boolean[] answered, long ms, Consumer<ClientResponse> done) {
    time.at(
        ms,
        () -> {
          look.run();
          if (unserved(node) && !answered[0]) {
            timeOut(node, look, answered, 500, done);
            return;
          }
          watchers.remove(look);
          if (!answered[0]) {
            answered[0] = true;
            ObjectNode out = JSON.createObjectNode().put("ledger", ledger);
            out.putArray("log");
            done.accept(reply(200, out));
          }
        });
  }

  private void wake() {
    List.copyOf(watchers).forEach(w -> time.at(0, w));
  }

  private static JsonNode pair(String key, Value v) {
    ObjectNode p = JSON.createObjectNode().put("path", key).put("stamp", v.stamp);
    p.set("v", v.v);
    return p;
  }

  static ClientResponse reply(int status, JsonNode body) {
    return new ClientResponse(status, body.toString().getBytes(StandardCharsets.UTF_8));
  }

  private static String query(String path, String name) {
    for (String parameter : path.substring(path.indexOf('?') + 1).split("&", -1)) {
      if (parameter.startsWith(name + "=")) {
        return parameter.substring(name.length() + 1);
      }
    }
    return "";
  }
}
