import com.sun.net.httpserver.HttpServer;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** The state service of the protocol, in memory. */
final class StateService {
  private static final Http.Answer TOO_MANY = new Http.Answer(429, "", 0);
  private static final Http.Answer DOWN = Http.json(503, Json.of("error", "trouble"));

  private record Entry(Object value, BigInteger stamp, Long permit) {}

  private record Change(String key, BigInteger stamp, Map<String, Object> event) {}

  private static final class Hold {
    final long lifeMs;
    long endMs;

    Hold(long lifeMs) {
      this.lifeMs = lifeMs;
    }
  }

  /** A limit on a rate that allows bursts of one second's worth. */
  private static final class Bucket {
    final double rate;
    double tokens;
    long lastNs = System.nanoTime();

    Bucket(double rate) {
      this.rate = rate;
      this.tokens = rate;
    }

    boolean take(int count) {
      long nowNs = System.nanoTime();
      tokens = Math.min(rate, tokens + rate * (nowNs - lastNs) / 1e9);
      lastNs = nowNs;
      if (tokens < count) {
        return false;
      }
      tokens -= count;
      return true;
    }
  }

  private final TreeMap<String, Entry> keys = new TreeMap<>();
  private final List<Change> log = new ArrayList<>();
  private final TreeMap<Long, Hold> holds = new TreeMap<>();
  private final Bucket requests;
  private final Bucket writes;
  private final int maxOps;
  private final double valueKb;
  private BigInteger ledger;
  private long nextHold = 7;
  private boolean down;
  final HttpServer server;

  /** Starts the service; its first change gets the revision after {@code ledger}. */
  StateService(BigInteger ledger, double rps, double writeRps, int maxOps, double valueKb) {
    this.ledger = ledger;
    this.requests = new Bucket(rps);
    this.writes = new Bucket(writeRps);
    this.maxOps = maxOps;
    this.valueKb = valueKb;
    this.server = Http.serve(this::handle);
    Http.daemon(this::expireHolds).start();
  }

  /** Starts or ends an outage; after it every lease has its full time again. */
  synchronized void setDown(boolean isDown) {
    down = isDown;
    for (Hold hold : holds.values()) {
      hold.endMs = now() + hold.lifeMs;
    }
    notifyAll();
  }

  synchronized boolean anyKey(Predicate<String> filter) {
    return keys.keySet().stream().anyMatch(filter);
  }

  synchronized String ledger() {
    return ledger.toString();
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private void expireHolds() {
    while (true) {
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        return;
      }
      synchronized (this) {
        if (!down) {
          List<Long> ended = new ArrayList<>();
          holds.forEach(
              (id, hold) -> {
                if (now() >= hold.endMs) {
                  ended.add(id);
                }
              });
          ended.forEach(this::endHold);
        }
      }
    }
  }

  private void endHold(long id) {
    holds.remove(id);
    List<String> attached = new ArrayList<>();
    keys.forEach(
        (key, entry) -> {
          if (entry.permit != null && entry.permit == id) {
            attached.add(key);
          }
        });
    if (!attached.isEmpty()) {
      ledger = ledger.add(BigInteger.ONE);
      attached.forEach(this::remove);
      notifyAll();
    }
  }

  private void remove(String key) {
    keys.remove(key);
    log.add(new Change(key, ledger, Json.of("remove", key, "stamp", ledger)));
  }

  private synchronized Http.Answer handle(
      String method, String path, Map<String, String> query, String body)
      throws InterruptedException {
    if (down) {
      return DOWN;
    }
    if (!requests.take(1)) {
      return TOO_MANY;
    }
    if (path.equals("/txn")) {
      return transaction(Json.object(body));
    } else if (path.equals("/follow")) {
      return follow(query);
    } else if (path.equals("/keys")) {
      return list(query);
    } else if (path.startsWith("/keys/")) {
      String key = path.substring("/keys/".length());
      Entry entry = keys.get(key);
      return entry == null
          ? Http.json(404, Json.of("ledger", ledger))
          : Http.json(200, pair(key, entry));
    } else if (path.equals("/holds")) {
      Hold hold = new Hold(((Number) Json.object(body).get("life_ms")).longValue());
      hold.endMs = now() + hold.lifeMs;
      long id = nextHold++;
      holds.put(id, hold);
      return Http.json(200, Json.of("permit", id));
    } else if (path.startsWith("/holds/")) {
      String[] parts = path.split("/");
      long id = Long.parseLong(parts[2]);
      Hold hold = holds.get(id);
      if (hold == null) {
        return Http.json(404, Json.of("error", "no such lease"));
      }
      if (method.equals("DELETE")) {
        endHold(id);
      } else {
        hold.endMs = now() + hold.lifeMs;
      }
      return Http.json(200, Json.of("permit", id));
    }
    return Http.json(400, Json.of("error", "malformed"));
  }

  private static Map<String, Object> pair(String key, Entry entry) {
    Map<String, Object> pair =
        Json.of("path", key, "v", entry.value, "stamp", entry.stamp);
    if (entry.permit != null) {
      pair.put("permit", entry.permit);
    }
    return pair;
  }

  private Http.Answer list(Map<String, String> query) {
    String prefix = query.get("prefix");
    String from = query.getOrDefault("from", "");
    int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
    List<Object> pairs = new ArrayList<>();
    int bytes = 0;
    for (Map.Entry<String, Entry> entry : keys.tailMap(prefix).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (entry.getKey().compareTo(from) > 0) {
        Map<String, Object> pair = pair(entry.getKey(), entry.getValue());
        bytes += Json.write(pair).length();
        if (pairs.size() == limit || bytes > 500_000) {
          return Http.json(200, Json.of("pairs", pairs, "has_next", true, "ledger", ledger));
        }
        pairs.add(pair);
      }
    }
    return Http.json(200, Json.of("pairs", pairs, "has_next", false, "ledger", ledger));
  }

  private Http.Answer follow(Map<String, String> query) throws InterruptedException {
    String prefix = query.get("prefix");
    BigInteger from = new BigInteger(query.get("from"));
    long endMs = now() + Long.parseLong(query.getOrDefault("block_ms", "0"));
    if (log.size() > 10_000 && log.get(log.size() - 10_000).stamp.compareTo(from) > 0) {
      return Http.json(410, Json.of("error", "too old"));
    }
    while (true) {
      List<Object> changes = new ArrayList<>();
      for (int i = log.size() - 1; i >= 0 && log.get(i).stamp.compareTo(from) > 0; i--) {
        if (log.get(i).key.startsWith(prefix)) {
          changes.add(0, log.get(i).event);
        }
      }
      boolean timeUp = now() >= endMs;
      if (!down && (timeUp || !changes.isEmpty())) {
        return Http.json(200, Json.of("ledger", ledger, "log", changes));
      }
      wait(timeUp ? 50 : Math.max(1, endMs - now()));
    }
  }

  private Http.Answer transaction(Map<String, Object> request) {
    List<Object> conditions = Json.list(request.get("when"));
    List<Object> changes = Json.list(request.get("then"));
    if (changes.size() > maxOps || conditions.size() > 4 * maxOps) {
      return Http.json(400, Json.of("error", "too many"));
    }
    if (!writes.take(changes.size())) {
      return TOO_MANY;
    }
    List<Object> failed = new ArrayList<>();
    for (Object condition : conditions) {
      String key = (String) Json.map(condition).get("path");
      Entry entry = keys.get(key);
      BigInteger stamp = entry == null ? BigInteger.ZERO : entry.stamp;
      if (!stamp.equals(Json.count(Json.map(condition).get("stamp")))) {
        failed.add(key);
      }
    }
    if (!failed.isEmpty()) {
      return Http.json(409, Json.of("failed", failed, "ledger", ledger));
    }
    for (Object change : changes) {
      Object permit = Json.map(change).get("permit");
      if (permit != null && !holds.containsKey(((Number) permit).longValue())) {
        return Http.json(400, Json.of("error", "no such lease"));
      }
      if (Json.write(Json.map(change).get("v")).length() > 1024 * valueKb) {
        return Http.json(400, Json.of("error", "value too large"));
      }
    }
    if (!changes.isEmpty()) {
      ledger = ledger.add(BigInteger.ONE);
      for (Object change : changes) {
        apply(Json.map(change));
      }
      notifyAll();
    }
    return Http.json(200, Json.of("ledger", ledger));
  }

  private void apply(Map<String, Object> change) {
    String key = (String) change.get("set");
    if (key == null) {
      String removed = (String) change.get("remove");
      if (keys.containsKey(removed)) {
        remove(removed);
      }
      return;
    }
    Number permit = (Number) change.get("permit");
    keys.put(
        key, new Entry(change.get("v"), ledger, permit == null ? null : permit.longValue()));
    log.add(
        new Change(key, ledger, Json.of("set", key, "v", change.get("v"), "stamp", ledger)));
  }
}
