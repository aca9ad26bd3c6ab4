import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the cloud, as PROTOCOL describes it. It starts a {@link Worker} a machine. */
final class Cloud {
  private final Lab lab;
  private final String type;
  private final double cores;
  private final double ramGb;
  private final double readyS;
  private final int capacity;
  private final long listLagMs;
  private final TreeMap<String, Worker> machines = new TreeMap<>();
  private final Map<String, List<Object>> hires = new LinkedHashMap<>();
  private final List<Snapshot> snapshots = new ArrayList<>();
  private int nextName = 1;

  private record Snapshot(long atMs, List<Map<String, Object>> trucks) {}

  /** Creates a cloud with machines of one type, in one zone. */
  Cloud(
      Lab lab,
      String type,
      double cores,
      double ramGb,
      double readyS,
      int capacity,
      double listLagS) {
    this.lab = lab;
    this.type = type;
    this.cores = cores;
    this.ramGb = ramGb;
    this.readyS = readyS;
    this.capacity = capacity;
    this.listLagMs = (long) (1000 * listLagS);
    Thread ticker =
        new Thread(
            () -> {
              while (true) {
                takeSnapshot();
                Lab.sleep(250);
              }
            });
    ticker.setDaemon(true);
    ticker.start();
  }

  private synchronized void takeSnapshot() {
    List<Map<String, Object>> trucks = new ArrayList<>();
    machines.forEach(
        (name, worker) ->
            trucks.add(
                Json.map(
                    "uid",
                    name,
                    "addr",
                    worker.address(),
                    "rig",
                    type,
                    "yard",
                    lab.zone,
                    "standby",
                    worker.standby,
                    "status",
                    worker.started() ? "running" : "booting",
                    "age_s",
                    (lab.nowMs() - worker.rentedAtMs) / 1000.0)));
    snapshots.add(new Snapshot(lab.nowMs(), trucks));
    while (snapshots.size() > 1 && snapshots.get(1).atMs <= lab.nowMs() - listLagMs) {
      snapshots.remove(0);
    }
  }

  /** All machines that exist, by name. */
  synchronized Map<String, Worker> machines() {
    return new TreeMap<>(machines);
  }

  synchronized Http.Reply handle(Http.Request request) throws Exception {
    String path = request.path();
    if (path.equals("/machine_types")) {
      return Http.Reply.of(
          200,
          Json.map(
              "rigs",
              List.of(
                  Json.map(
                      "label",
                      type,
                      "cores",
                      cores,
                      "cards",
                      0.0,
                      "ram_gb",
                      ramGb,
                      "cache_gb",
                      70.0,
                      "pull_gb_per_s",
                      Worker.PULL_GB_PER_S,
                      "rate",
                      1.37,
                      "low_price",
                      0.6,
                      "ready_s",
                      readyS,
                      "yards",
                      List.of(lab.zone)))));
    }
    if (path.equals("/hosts") && request.method().equals("POST")) {
      return hire(Json.object(request.body()));
    }
    if (path.equals("/hosts/return")) {
      Map<String, Object> body = Json.object(request.body());
      lab.record("cloud", "asked to take back " + body.get("trucks"));
      for (Object name : (List<?>) body.get("trucks")) {
        Worker worker = machines.remove(name);
        if (worker != null) {
          worker.gone("given back");
        }
      }
      return Http.Reply.of(200, Json.map());
    }
    if (path.equals("/hosts")) {
      String from = request.query().getOrDefault("from", "");
      List<Object> trucks = new ArrayList<>();
      for (Map<String, Object> truck : snapshots.get(0).trucks) {
        if (((String) truck.get("uid")).compareTo(from) > 0) {
          trucks.add(truck);
        }
      }
      return Http.Reply.of(200, Json.map("trucks", trucks, "has_next", false));
    }
    return Http.Reply.of(400, Json.map());
  }

  private Http.Reply hire(Map<String, Object> request) throws Exception {
    String hire = (String) request.get("hire");
    List<Object> names = hires.get(hire);
    if (names == null) {
      int count = (int) Math.min(Json.integer(request.get("how_many")), capacity - machines.size());
      if (count <= 0) {
        lab.record("cloud", "hire " + hire + " refused: no capacity");
        return Http.Reply.of(503, Json.map("error", "no capacity"));
      }
      names = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        String name = String.format("host-%06d", nextName++);
        Worker worker = new Worker(lab, name, type, cores, ramGb, (Boolean) request.get("standby"));
        machines.put(name, worker);
        worker.boot((long) (1000 * readyS));
        names.add(name);
      }
      hires.put(hire, names);
    }
    lab.record("cloud", "hire " + hire + " got " + names);
    return Http.Reply.of(200, Json.map("trucks", names));
  }
}
