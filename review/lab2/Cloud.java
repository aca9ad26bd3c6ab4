import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of the protocol; a machine that is up runs a {@link Worker}. */
final class Cloud {
  /** A machine that was rented. */
  static final class Rented {
    final String name;
    final String yard;
    final boolean spot;
    final double sinceS;
    double goneS = Double.POSITIVE_INFINITY;
    Worker worker;

    Rented(String name, String yard, boolean spot, double sinceS) {
      this.name = name;
      this.yard = yard;
      this.spot = spot;
      this.sinceS = sinceS;
    }
  }

  private final Site site;
  private final Record record;
  private final Checker checker;
  private final int capacityPerKind;
  private final double bootFactor;
  private final TreeMap<String, Rented> machines = new TreeMap<>();
  private final Map<String, List<Object>> answered = new HashMap<>();
  private String[] controllers = {};
  private int next = 1;
  private boolean down;
  final HttpServer server;

  /** Starts a cloud that has so many machines of each zone and kind (spot or ordinary). */
  Cloud(Site site, Record record, Checker checker, int capacityPerKind, double bootFactor) {
    this.site = site;
    this.record = record;
    this.checker = checker;
    this.capacityPerKind = capacityPerKind;
    this.bootFactor = bootFactor;
    this.server = Http.serve(this::handle);
  }

  synchronized void setControllers(String[] addresses) {
    controllers = addresses;
  }

  synchronized void setDown(boolean isDown) {
    down = isDown;
  }

  synchronized List<Worker> workers() {
    List<Worker> workers = new ArrayList<>();
    for (Rented machine : machines.values()) {
      if (machine.worker != null && Double.isInfinite(machine.goneS)) {
        workers.add(machine.worker);
      }
    }
    return workers;
  }

  private synchronized Http.Answer handle(
      String method, String path, Map<String, String> query, String body) {
    if (down) {
      return Http.json(503, Json.of("error", "trouble"));
    }
    if (path.equals("/machine_types")) {
      return types();
    } else if (path.equals("/hosts") && method.equals("POST")) {
      return rent(Json.object(body));
    } else if (path.equals("/hosts")) {
      return list(query);
    } else if (path.equals("/hosts/return")) {
      for (Object name : Json.list(Json.object(body).get("trucks"))) {
        Rented machine = machines.get((String) name);
        if (machine != null && Double.isInfinite(machine.goneS)) {
          record.line("cloud takes back %s", name);
          take(machine);
        }
      }
      return Http.json(200, Json.of());
    }
    return Http.json(400, Json.of("error", "malformed"));
  }

  private void take(Rented machine) {
    machine.goneS = record.seconds();
    if (machine.worker != null) {
      machine.worker.gone();
    }
  }

  private Http.Answer types() {
    Map<String, Object> rig =
        Json.of(
            "label", site.rig.label(),
            "cores", site.rig.cores(),
            "cards", 0.0,
            "ram_gb", site.rig.ramGb(),
            "cache_gb", 40.0,
            "pull_gb_per_s", site.rig.pullGbPerS(),
            "rate", 1.94,
            "low_price", 0.78,
            "ready_s", site.rig.readyS(),
            "yards", List.of((Object[]) site.zones));
    return Http.json(200, Json.of("rigs", List.of(rig)));
  }

  private Http.Answer rent(Map<String, Object> request) {
    String hire = (String) request.get("hire");
    if (!answered.containsKey(hire)) {
      String yard = (String) request.get("yard");
      boolean spot = (Boolean) request.get("standby");
      long used =
          machines.values().stream()
              .filter(m -> m.yard.equals(yard) && m.spot == spot && Double.isInfinite(m.goneS))
              .count();
      int wanted = ((Number) request.get("how_many")).intValue();
      int granted = (int) Math.min(Math.min(50, wanted), capacityPerKind - used);
      if (granted <= 0) {
        return Http.json(503, Json.of("error", "no capacity"));
      }
      List<Object> names = new ArrayList<>();
      for (int i = 0; i < granted; i++) {
        names.add(add(yard, spot, site.rig.readyS() * bootFactor).name);
      }
      answered.put(hire, names);
      record.line("cloud rents %s for %s", names, hire);
    }
    return Http.json(200, Json.of("trucks", answered.get(hire)));
  }

  private Rented add(String yard, boolean spot, double bootS) {
    Rented machine =
        new Rented(String.format("host-%06d", next++), yard, spot, record.seconds());
    machines.put(machine.name, machine);
    Http.daemon(() -> boot(machine, bootS)).start();
    return machine;
  }

  private void boot(Rented machine, double bootS) {
    try {
      Thread.sleep((long) (1000 * bootS));
    } catch (InterruptedException e) {
      return;
    }
    synchronized (this) {
      if (Double.isInfinite(machine.goneS)) {
        machine.worker =
            new Worker(site, record, checker, controllers, machine.name, machine.yard, machine.spot);
        machine.worker.start();
      }
    }
  }

  private Http.Answer list(Map<String, String> query) {
    String from = query.getOrDefault("from", "");
    int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
    double atS = record.seconds() - site.listLagS;
    List<Object> listed = new ArrayList<>();
    for (Rented machine : machines.tailMap(from, false).values()) {
      if (machine.sinceS <= atS && machine.goneS > atS) {
        if (listed.size() == limit) {
          return Http.json(200, Json.of("trucks", listed, "has_next", true));
        }
        listed.add(
            Json.of(
                "uid", machine.name,
                "addr", machine.worker == null ? "" : machine.worker.address(),
                "rig", site.rig.label(),
                "yard", machine.yard,
                "standby", machine.spot,
                "status", machine.worker == null ? "booting" : "running",
                "age_s", atS - machine.sinceS));
      }
    }
    return Http.json(200, Json.of("trucks", listed, "has_next", false));
  }
}
