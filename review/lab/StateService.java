import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A stand-in for the state service, in memory, as PROTOCOL describes it. */
final class StateService {
  private static final int KEPT_CHANGES = 10_000;
  private static final int MAX_TXN_BYTES = 64 * 1024;
  private static final int MAX_LIST_BYTES = 512 * 1024;
  private static final int MAX_LIST_ITEMS = 1_000;

  private record Stored(Object value, long stamp, long permit) {}

  private record Change(String key, Object value, long stamp) {}

  private static final class Hold {
    long lifeMs;
    long endsAt;
  }

  private final double rps;
  private final double writeRps;
  private final int txnOps;
  private final int valueBytes;
  private final TreeMap<String, Stored> keys = new TreeMap<>();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private final Map<Long, Hold> holds = new HashMap<>();
  private long ledger = 1;
  private long forgottenUpTo;
  private long nextPermit = 1;
  private double requestTokens;
  private double writeTokens;
  private long refilledAt = System.nanoTime();

  StateService(double rps, double writeRps, int txnOps, double valueKb) {
    this.rps = rps;
    this.writeRps = writeRps;
    this.txnOps = txnOps;
    this.valueBytes = (int) (1024 * valueKb);
    this.requestTokens = rps;
    this.writeTokens = writeRps;
    Thread ticker =
        new Thread(
            () -> {
              while (true) {
                Lab.sleep(10);
                synchronized (this) {
                  expireHolds();
                }
              }
            });
    ticker.setDaemon(true);
    ticker.start();
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  private static Http.Reply error(int status, String text) {
    return Http.Reply.of(status, Json.map("error", text));
  }

  Http.Reply handle(Http.Request request) throws InterruptedException {
    String path = request.path();
    synchronized (this) {
      expireHolds();
      refill();
      if (requestTokens < 1) {
        return error(429, "too many requests");
      }
      requestTokens--;
      if (path.equals("/keys")) {
        return list(request.query());
      }
      if (path.startsWith("/keys/")) {
        String key = path.substring("/keys/".length());
        Stored stored = keys.get(key);
        if (stored == null) {
          return Http.Reply.of(404, Json.map("ledger", ledger));
        }
        Map<String, Object> body = Json.map("path", key, "v", stored.value, "stamp", stored.stamp);
        if (stored.permit > 0) {
          body.put("permit", stored.permit);
        }
        return Http.Reply.of(200, body);
      }
      if (path.equals("/txn")) {
        return transaction(request.body());
      }
      if (path.equals("/holds")) {
        Hold hold = new Hold();
        hold.lifeMs = Json.integer(Json.object(request.body()).get("life_ms"));
        if (hold.lifeMs < 100 || hold.lifeMs > 600_000) {
          return error(400, "life_ms");
        }
        hold.endsAt = nowMs() + hold.lifeMs;
        holds.put(nextPermit, hold);
        return Http.Reply.of(200, Json.map("permit", nextPermit++));
      }
      if (path.startsWith("/holds/")) {
        String[] parts = path.split("/");
        Hold hold = holds.get(Long.parseLong(parts[2]));
        if (hold == null) {
          return error(404, "no such lease");
        }
        if (request.method().equals("DELETE")) {
          hold.endsAt = 0;
          expireHolds();
        } else {
          hold.endsAt = nowMs() + hold.lifeMs;
        }
        return Http.Reply.of(200, Json.map("permit", Long.parseLong(parts[2])));
      }
      if (path.equals("/follow")) {
        return follow(request.query());
      }
      return error(400, "unknown path");
    }
  }

  private void refill() {
    long now = System.nanoTime();
    double seconds = (now - refilledAt) / 1e9;
    refilledAt = now;
    requestTokens = Math.min(rps, requestTokens + seconds * rps);
    writeTokens = Math.min(writeRps, writeTokens + seconds * writeRps);
  }

  private void expireHolds() {
    Set<Long> ended = new HashSet<>();
    long now = nowMs();
    for (Iterator<Map.Entry<Long, Hold>> i = holds.entrySet().iterator(); i.hasNext(); ) {
      Map.Entry<Long, Hold> entry = i.next();
      if (entry.getValue().endsAt <= now) {
        ended.add(entry.getKey());
        i.remove();
      }
    }
    if (ended.isEmpty()) {
      return;
    }
    List<String> removed = new ArrayList<>();
    keys.forEach(
        (key, stored) -> {
          if (ended.contains(stored.permit)) {
            removed.add(key);
          }
        });
    for (String key : removed) {
      ledger++;
      keys.remove(key);
      record(new Change(key, null, ledger));
    }
  }

  private void record(Change change) {
    changes.add(change);
    while (changes.size() > KEPT_CHANGES) {
      forgottenUpTo = changes.poll().stamp;
    }
    notifyAll();
  }

  private Http.Reply list(Map<String, String> query) {
    String prefix = query.get("prefix");
    String from = query.getOrDefault("from", "");
    int limit =
        Math.min(MAX_LIST_ITEMS, Integer.parseInt(query.getOrDefault("limit", "" + MAX_LIST_ITEMS)));
    List<Object> pairs = new ArrayList<>();
    int bytes = 0;
    boolean more = false;
    for (Map.Entry<String, Stored> entry : keys.tailMap(prefix, true).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (entry.getKey().compareTo(from) <= 0) {
        continue;
      }
      Object pair =
          Json.map(
              "path", entry.getKey(), "v", entry.getValue().value, "stamp", entry.getValue().stamp);
      bytes += Json.write(pair).length();
      if (pairs.size() == limit || bytes > MAX_LIST_BYTES) {
        more = true;
        break;
      }
      pairs.add(pair);
    }
    return Http.Reply.of(200, Json.map("pairs", pairs, "has_next", more, "ledger", ledger));
  }

  private Http.Reply transaction(String body) {
    if (body.getBytes(StandardCharsets.UTF_8).length > MAX_TXN_BYTES) {
      return error(400, "too large");
    }
    Map<String, Object> txn = Json.object(body);
    List<Map<String, Object>> when = Json.list(txn.get("when"));
    List<Map<String, Object>> then = Json.list(txn.get("then"));
    if (then.size() > txnOps || when.size() > 4 * txnOps) {
      return error(400, "too many");
    }
    if (writeTokens < then.size()) {
      return error(429, "too many changes");
    }
    writeTokens -= then.size();
    for (Map<String, Object> write : then) {
      if (write.get("permit") != null && !holds.containsKey(Json.integer(write.get("permit")))) {
        return error(400, "no such lease");
      }
      if (write.get("set") != null
          && Json.write(write.get("v")).getBytes(StandardCharsets.UTF_8).length > valueBytes) {
        return error(400, "value too large");
      }
    }
    List<Object> failed = new ArrayList<>();
    for (Map<String, Object> condition : when) {
      Stored stored = keys.get((String) condition.get("path"));
      if ((stored == null ? 0 : stored.stamp) != Json.integer(condition.get("stamp"))) {
        failed.add(condition.get("path"));
      }
    }
    if (!failed.isEmpty()) {
      return Http.Reply.of(409, Json.map("failed", failed, "ledger", ledger));
    }
    if (!then.isEmpty()) {
      ledger++;
    }
    for (Map<String, Object> write : then) {
      String key = (String) write.get("set");
      if (key != null) {
        keys.put(key, new Stored(write.get("v"), ledger, Json.integer(write.get("permit"))));
        record(new Change(key, write.get("v"), ledger));
      } else {
        key = (String) write.get("remove");
        if (keys.remove(key) != null) {
          record(new Change(key, null, ledger));
        }
      }
    }
    return Http.Reply.of(200, Json.map("ledger", ledger));
  }

  private Http.Reply follow(Map<String, String> query) throws InterruptedException {
    String prefix = query.get("prefix");
    long from = Long.parseLong(query.get("from"));
    long until = nowMs() + Math.min(60_000, Long.parseLong(query.getOrDefault("block_ms", "0")));
    while (true) {
      if (from < forgottenUpTo) {
        return error(410, "too old");
      }
      List<Object> log = new ArrayList<>();
      for (Change change : changes) {
        if (change.stamp > from && change.key.startsWith(prefix)) {
          log.add(
              change.value == null
                  ? Json.map("remove", change.key, "stamp", change.stamp)
                  : Json.map("set", change.key, "v", change.value, "stamp", change.stamp));
        }
      }
      long left = until - nowMs();
      if (!log.isEmpty() || left <= 0) {
        return Http.Reply.of(200, Json.map("ledger", ledger, "log", log));
      }
      wait(left);
    }
  }
}
