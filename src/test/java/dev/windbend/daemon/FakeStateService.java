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

  private static final int MAX_TRANSACTION_OPERATIONS = 8;
  private static final int MAX_CONDITIONS_PER_OPERATION = 4;
  private static final int MAX_VALUE_BYTES = 4_096;

  private record Entry(JsonNode value, long version, long leaseId) {}

  private record Change(String key, JsonNode value, long revision) {}

  private final VirtualTime time;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final Map<Long, long[]> leases = new HashMap<>();
  private final List<Runnable> followers = new ArrayList<>();
  private long revision;
  private long nextLeaseId = 1;
  private long compactedRevision;
  boolean outage;

  /** These nodes alone get 503. */
  final Set<String> refusedControllers = new HashSet<>();

  /** Changes of keys that start so are refused; none if empty. */
  String rejectedKeyPrefix = "";

  int largestValueBytes;

  FakeStateService(VirtualTime time) {
    this.time = time;
  }

  /** How many changes have been made so far. */
  long revision() {
    return revision;
  }

  int countKeys(String prefix) {
    return entries.subMap(prefix, prefix + '\uffff').size();
  }

  /** The value of a key, null if there is none. */
  JsonNode value(String key) {
    Entry entry = entries.get(key);
    return entry == null ? null : entry.value;
  }

  /** How often a text stands in the values below a prefix. */
  int countOccurrences(String prefix, String text) {
    int count = 0;
    for (Entry entry : entries.subMap(prefix, prefix + '\uffff').values()) {
      count += entry.value.toString().split(text, -1).length - 1;
    }
    return count;
  }

  /** All keys with their versions and leases, and all leases with the time left to them. */
  ObjectNode save() {
    ObjectNode savedState =
        JSON.createObjectNode().put("revision", revision).put("next_lease", nextLeaseId);
    ArrayNode savedLeases = savedState.putArray("leases");
    new TreeMap<>(leases)
        .forEach(
            (id, lease) ->
                savedLeases
                    .addObject()
                    .put("id", id)
                    .put("life_ms", lease[0])
                    .put("left_ms", lease[1] - time.nowMs()));
    ArrayNode savedKeys = savedState.putArray("keys");
    entries.forEach(
        (key, entry) ->
            savedKeys
                .addObject()
                .put("key", key)
                .put("version", entry.version)
                .put("lease", entry.leaseId)
                .set("value", entry.value));
    return savedState;
  }

  /** Goes on from what was saved; what changed before can be followed no more. */
  void load(JsonNode saved) {
    revision = saved.get("revision").asLong();
    compactedRevision = revision;
    nextLeaseId = saved.get("next_lease").asLong();
    for (JsonNode savedKey : saved.get("keys")) {
      Entry entry =
          new Entry(
              savedKey.get("value"),
              savedKey.get("version").asLong(),
              savedKey.get("lease").asLong());
      entries.put(savedKey.get("key").asText(), entry);
    }
    for (JsonNode savedLease : saved.get("leases")) {
      long id = savedLease.get("id").asLong();
      long endMs = time.nowMs() + savedLease.get("left_ms").asLong();
      leases.put(id, new long[] {savedLease.get("life_ms").asLong(), endMs});
      scheduleLeaseExpiry(id);
    }
  }

  /** An outage ends: every hold has its full time again. */
  void endOutage() {
    outage = false;
    leases.values().forEach(lease -> lease[1] = time.nowMs() + lease[0]);
    leases.keySet().forEach(this::scheduleLeaseExpiry);
  }

  /** Old changes can be followed no more. */
  void compactChanges() {
    compactedRevision = revision;
  }

  void handle(
      String requester,
      String method,
      String path,
      byte[] body,
      Consumer<ClientResponse> onResponse) {
    if (path.startsWith("/follow")) {
      follow(requester, path, onResponse);
      return;
    }
    if (isUnavailableTo(requester)) {
      onResponse.accept(new ClientResponse(503, "{}".getBytes(StandardCharsets.UTF_8)));
      return;
    }
    try {
      onResponse.accept(respond(path, body));
    } catch (java.io.IOException e) {
      onResponse.accept(new ClientResponse(400, "{}".getBytes(StandardCharsets.UTF_8)));
    }
  }

  private boolean isUnavailableTo(String requester) {
    return outage || refusedControllers.contains(requester);
  }

  private ClientResponse respond(String path, byte[] body) throws java.io.IOException {
    if (path.startsWith("/keys?")) {
      String prefix = queryParameter(path, "prefix");
      String after = queryParameter(path, "from");
      int limit = Integer.parseInt(queryParameter(path, "limit"));
      ObjectNode page = JSON.createObjectNode();
      ArrayNode pairs = page.putArray("pairs");
      boolean hasNext = false;
      for (Map.Entry<String, Entry> entry : entries.tailMap(prefix, true).entrySet()) {
        if (!entry.getKey().startsWith(prefix) || entry.getKey().compareTo(after) <= 0) {
          continue;
        }
        if (pairs.size() == limit) {
          hasNext = true;
          break;
        }
        pairs.add(toJson(entry.getKey(), entry.getValue()));
      }
      page.put("has_next", hasNext).put("ledger", revision);
      return jsonResponse(200, page);
    }
    if (path.startsWith("/keys/")) {
      Entry entry = entries.get(path.substring(6));
      return entry == null
          ? jsonResponse(404, JSON.createObjectNode().put("ledger", revision))
          : jsonResponse(200, toJson(path.substring(6), entry));
    }
    if (path.equals("/txn")) {
      return executeTransaction(JSON.readTree(body));
    }
    if (path.equals("/holds")) {
      long leaseId = nextLeaseId++;
      long lifetimeMs = JSON.readTree(body).get("life_ms").asLong();
      leases.put(leaseId, new long[] {lifetimeMs, time.nowMs() + lifetimeMs});
      scheduleLeaseExpiry(leaseId);
      return jsonResponse(200, JSON.createObjectNode().put("permit", leaseId));
    }
    if (path.endsWith("/renew")) {
      long[] lease = leases.get(Long.parseLong(path.split("/", -1)[2]));
      if (lease == null) {
        return new ClientResponse(404, "{}".getBytes(StandardCharsets.UTF_8));
      }
      lease[1] = time.nowMs() + lease[0];
      return new ClientResponse(200, "{}".getBytes(StandardCharsets.UTF_8));
    }
    return new ClientResponse(400, "{}".getBytes(StandardCharsets.UTF_8));
  }

  /** The protocol's limits on a transaction, as the simulated deployments set them. */
  private static boolean exceedsLimits(JsonNode transaction) {
    for (JsonNode change : transaction.path("then")) {
      if (change.path("v").toString().length() > MAX_VALUE_BYTES) {
        return true;
      }
    }
    return transaction.path("then").size() > MAX_TRANSACTION_OPERATIONS
        || transaction.path("when").size()
            > MAX_CONDITIONS_PER_OPERATION * MAX_TRANSACTION_OPERATIONS;
  }

  private ClientResponse executeTransaction(JsonNode transaction) {
    if (exceedsLimits(transaction)) {
      return new ClientResponse(
          400, "{\"error\":\"too many operations\"}".getBytes(StandardCharsets.UTF_8));
    }
    ObjectNode response = JSON.createObjectNode();
    ArrayNode failedKeys = JSON.createArrayNode();
    for (JsonNode c : transaction.path("when")) {
      Entry entry = entries.get(c.get("path").asText());
      if ((entry == null ? 0 : entry.version) != c.get("stamp").asLong()) {
        failedKeys.add(c.get("path"));
      }
    }
    if (!failedKeys.isEmpty()) {
      response.set("failed", failedKeys);
      return jsonResponse(409, response.put("ledger", revision));
    }
    for (JsonNode c : transaction.path("then")) {
      if (c.has("permit") && !leases.containsKey(c.get("permit").asLong())) {
        return new ClientResponse(
            400, "{\"error\":\"no such lease\"}".getBytes(StandardCharsets.UTF_8));
      }
    }
    for (JsonNode c : transaction.path("then")) {
      if (!rejectedKeyPrefix.isEmpty() && c.path("set").asText().startsWith(rejectedKeyPrefix)) {
        return new ClientResponse(429, "{}".getBytes(StandardCharsets.UTF_8));
      }
    }
    revision++;
    for (JsonNode c : transaction.path("then")) {
      if (c.has("set")) {
        String key = c.get("set").asText();
        largestValueBytes = Math.max(largestValueBytes, c.get("v").toString().length());
        entries.put(key, new Entry(c.get("v"), revision, c.path("permit").asLong(-1)));
        changes.add(new Change(key, c.get("v"), revision));
      } else {
        String key = c.get("remove").asText();
        entries.remove(key);
        changes.add(new Change(key, null, revision));
      }
    }
    notifyFollowers();
    return jsonResponse(200, response.put("ledger", revision));
  }

  private void scheduleLeaseExpiry(long leaseId) {
    long[] lease = leases.get(leaseId);
    time.schedule(
        lease[1] - time.nowMs() + 50,
        () -> {
          if (outage || leases.get(leaseId) != lease) {
            return;
          }
          if (lease[1] <= time.nowMs()) {
            leases.remove(leaseId);
            for (String key : List.copyOf(entries.keySet())) {
              if (entries.get(key).leaseId == leaseId) {
                entries.remove(key);
                changes.add(new Change(key, null, ++revision));
              }
            }
            notifyFollowers();
          } else {
            scheduleLeaseExpiry(leaseId);
          }
        });
  }

  private void follow(String requester, String path, Consumer<ClientResponse> onResponse) {
    long afterRevision = Long.parseLong(queryParameter(path, "from"));
    String prefix = queryParameter(path, "prefix");
    boolean[] responded = {false};
    Runnable respondIfChanged =
        () -> {
          if (responded[0] || isUnavailableTo(requester)) {
            return;
          }
          if (afterRevision < compactedRevision) {
            responded[0] = true;
            onResponse.accept(new ClientResponse(410, "{}".getBytes(StandardCharsets.UTF_8)));
            return;
          }
          ArrayNode events = JSON.createArrayNode();
          for (Change change : changes) {
            if (change.revision > afterRevision && change.key.startsWith(prefix)) {
              ObjectNode event = JSON.createObjectNode().put("stamp", change.revision);
              if (change.value == null) {
                event.put("remove", change.key);
              } else {
                event.put("set", change.key).set("v", change.value);
              }
              events.add(event);
            }
          }
          if (!events.isEmpty()) {
            responded[0] = true;
            ObjectNode response = JSON.createObjectNode().put("ledger", revision);
            response.set("log", events);
            onResponse.accept(jsonResponse(200, response));
          }
        };
    followers.add(respondIfChanged);
    respondIfChanged.run();
    scheduleFollowTimeout(
        requester,
        respondIfChanged,
        responded,
        Long.parseLong(queryParameter(path, "block_ms")),
        onResponse);
  }

  /** Open watches remain open through an outage. */
  private void scheduleFollowTimeout(
      String requester,
      Runnable respondIfChanged,
      boolean[] responded,
      long delayMs,
      Consumer<ClientResponse> onResponse) {
    time.schedule(
        delayMs,
        () -> {
          respondIfChanged.run();
          if (isUnavailableTo(requester) && !responded[0]) {
            scheduleFollowTimeout(requester, respondIfChanged, responded, 500, onResponse);
            return;
          }
          followers.remove(respondIfChanged);
          if (!responded[0]) {
            responded[0] = true;
            ObjectNode response = JSON.createObjectNode().put("ledger", revision);
            response.putArray("log");
            onResponse.accept(jsonResponse(200, response));
          }
        });
  }

  private void notifyFollowers() {
    List.copyOf(followers).forEach(follower -> time.schedule(0, follower));
  }

  private static JsonNode toJson(String key, Entry entry) {
    ObjectNode json = JSON.createObjectNode().put("path", key).put("stamp", entry.version);
    json.set("v", entry.value);
    return json;
  }

  static ClientResponse jsonResponse(int status, JsonNode body) {
    return new ClientResponse(status, body.toString().getBytes(StandardCharsets.UTF_8));
  }

  private static String queryParameter(String path, String name) {
    for (String parameter : path.substring(path.indexOf('?') + 1).split("&", -1)) {
      if (parameter.startsWith(name + "=")) {
        return parameter.substring(name.length() + 1);
      }
    }
    return "";
  }
}
