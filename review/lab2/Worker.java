import com.sun.net.httpserver.HttpServer;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A worker of the protocol on one machine. */
final class Worker extends Thread {
  /** One attempt of a task. */
  private static final class Drop {
    final String task;
    final BigInteger run;
    String status = "pulling";
    String cause;
    Boolean saved;
    double readyS;
    double endS;
    double flushedS = Double.POSITIVE_INFINITY;
    boolean on;

    Drop(String task, BigInteger run) {
      this.task = task;
      this.run = run;
    }

    String uid() {
      return task.substring(0, task.lastIndexOf('/'));
    }
  }

  private final Site site;
  private final Record record;
  private final Checker checker;
  private final String[] controllers;
  private final String name;
  private final String yard;
  private final boolean spot;
  private final Random random;
  private final HttpServer server;
  private final Map<String, Drop> drops = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private final Map<String, Double> pullEndS = new LinkedHashMap<>();
  private BigInteger baton = BigInteger.ZERO;
  private long shift = 1;
  private long tally;
  private double lastAnsweredS;
  private double hangUntilS;
  private boolean changed;
  private boolean gone;
  private int node;

  Worker(
      Site site,
      Record record,
      Checker checker,
      String[] controllers,
      String name,
      String yard,
      boolean spot) {
    this.site = site;
    this.record = record;
    this.checker = checker;
    this.controllers = controllers;
    this.name = name;
    this.yard = yard;
    this.spot = spot;
    this.random = new Random(name.hashCode());
    this.node = random.nextInt(controllers.length);
    this.server = Http.serve(this::handle);
    this.lastAnsweredS = record.seconds();
    setDaemon(true);
  }

  String address() {
    return Http.address(server);
  }

  /** The controller that the worker reports to, counted from 0. */
  synchronized int reportsTo() {
    return node;
  }

  String truck() {
    return name;
  }

  /** The machine is gone with all that was on it. */
  synchronized void gone() {
    gone = true;
    for (Drop drop : drops.values()) {
      off(drop);
    }
    drops.clear();
    server.stop(0);
    notifyAll();
  }

  /** Hangs the machine for so long: it neither runs its tasks nor reports. */
  synchronized void hang(double forS) {
    record.line("%s hangs for %.0f s", name, forS);
    hangUntilS = record.seconds() + forS;
  }

  private void off(Drop drop) {
    if (drop.on) {
      drop.on = false;
      checker.ends(drop.task, name);
    }
  }

  private void exit(Drop drop, String cause, Boolean saved) {
    drop.status = "exited";
    drop.cause = cause;
    drop.saved = saved;
    off(drop);
    changed = true;
    notifyAll();
  }

  /** Brings tasks and lease up to the present; returns the time of the next change. */
  private double advance() {
    double nowS = record.seconds();
    if (nowS > lastAnsweredS + site.leaseS) {
      record.line("%s lease ends, shift %d", name, shift + 1);
      drops.values().forEach(this::off);
      drops.clear();
      pullEndS.clear();
      shift++;
      lastAnsweredS = nowS;
      changed = true;
    }
    double nextS = nowS + 1;
    for (Drop drop : drops.values()) {
      if (drop.status.equals("pulling") && nowS >= drop.readyS) {
        images.add((String) site.job(drop.uid()).get("load"));
        if (checker.hasResult(drop.task)) {
          exit(drop, "done", null);
        } else {
          drop.status = "running";
          drop.on = true;
          drop.endS = nowS + site.runSeconds(drop.uid());
          changed = true;
          checker.begins(drop.task, name);
        }
      } else if (drop.status.equals("running") && nowS >= drop.endS) {
        checker.completed(drop.task);
        exit(drop, "done", null);
      } else if (drop.status.equals("flushing") && nowS >= drop.flushedS) {
        exit(drop, "halted", true);
      }
      if (drop.status.equals("pulling")) {
        nextS = Math.min(nextS, drop.readyS);
      } else if (drop.status.equals("running")) {
        nextS = Math.min(nextS, drop.endS);
      } else if (drop.status.equals("flushing")) {
        nextS = Math.min(nextS, drop.flushedS);
      }
    }
    return nextS;
  }

  private Map<String, Object> report() {
    List<Object> states = new ArrayList<>();
    for (Drop drop : drops.values()) {
      Map<String, Object> state =
          Json.of("drop", drop.task, "run", drop.run, "status", drop.status);
      if (drop.cause != null) {
        state.put("cause", drop.cause);
      }
      if (drop.saved != null) {
        state.put("saved", drop.saved);
      }
      states.add(state);
    }
    return Json.of(
        "truck", name,
        "addr", address(),
        "rig", site.rig.label(),
        "yard", yard,
        "standby", spot,
        "shift", shift,
        "tally", ++tally,
        "baton", baton,
        "recall_s", null,
        "drops", states);
  }

  private boolean hung() {
    return record.seconds() < hangUntilS;
  }

  @Override
  public void run() {
    record.line("%s is up", name);
    double nextReportS = record.seconds();
    double lastReportS = -1;
    while (true) {
      Map<String, Object> report;
      long sentShift;
      synchronized (this) {
        while (true) {
          if (gone) {
            return;
          }
          double nowS = record.seconds();
          if (hung()) {
            pause(Math.min(0.1, hangUntilS - nowS));
            continue;
          }
          double changeS = advance();
          double dueS = changed ? Math.min(nextReportS, lastReportS + 0.5) : nextReportS;
          if (nowS >= dueS) {
            break;
          }
          pause(Math.min(dueS, changeS) - nowS);
        }
        changed = false;
        report = report();
        sentShift = shift;
      }
      lastReportS = record.seconds();
      nextReportS = lastReportS + site.reportS * (0.75 + 0.5 * random.nextDouble());
      Http.Answer answer = Http.call(controllers[node], "POST", "/hello", report, 4);
      synchronized (this) {
        while (hung() && !gone) {
          pause(0.1);
        }
        if (gone) {
          return;
        }
        double next = handleAnswer(answer, lastReportS, sentShift);
        if (next >= 0) {
          nextReportS = record.seconds() + next;
        }
      }
    }
  }

  private void pause(double seconds) {
    try {
      wait(Math.max(1, (long) (1000 * seconds)));
    } catch (InterruptedException e) {
      gone = true;
    }
  }

  /** Returns when the next report is due in seconds; -1 if as usual. */
  private double handleAnswer(Http.Answer answer, double sentS, long sentShift) {
    int status = record.seconds() - sentS > 4 ? 0 : answer.status();
    if (status == 200) {
      try {
        Map<String, Object> body = Json.object(answer.body());
        BigInteger token = Json.count(body.get("baton"));
        List<Object> orders = Json.list(body.get("orders"));
        for (Object order : orders) {
          Json.count(Json.map(order).get("run"));
        }
        if (sentShift == shift && token.compareTo(baton) >= 0) {
          raise(token);
          lastAnsweredS = sentS;
          execute(orders);
        }
      } catch (IllegalArgumentException e) {
        record.line("%s drops a malformed answer (%s): %s", name, e.getMessage(), answer.body());
      }
      return -1;
    }
    if (status == 421) {
      Object other = Json.object(answer.body()).get("dispatcher");
      if (other instanceof String host && host.startsWith("mast-")) {
        int named = Integer.parseInt(host.substring("mast-".length()));
        if (named != node) {
          node = named;
          return 0.5 * random.nextDouble();
        }
      }
    }
    node = (node + 1) % controllers.length;
    return 1;
  }

  private void raise(BigInteger token) {
    if (token.compareTo(baton) > 0) {
      baton = token;
      changed = true;
    }
  }

  private void execute(List<Object> orders) {
    for (Object element : orders) {
      Map<String, Object> order = Json.map(element);
      String task = (String) order.get("drop");
      BigInteger run = Json.count(order.get("run"));
      Drop drop = drops.get(task + " " + run);
      Map<String, Object> job = site.job(task.substring(0, task.lastIndexOf('/')));
      if (job == null || ((Number) job.get("drops")).intValue() <= 100) {
        record.line("%s executes %s", name, Json.write(order));
      }
      switch ((String) order.get("order")) {
        case "start" -> {
          if (drop == null) {
            startDrop(task, run);
          }
        }
        case "kill" -> {
          if (drop != null) {
            kill(drop, Json.number(order.get("wind_down_s")));
          }
        }
        case "reap" -> {
          if (drop != null && drop.status.equals("exited")) {
            drops.remove(task + " " + run);
            changed = true;
          }
        }
        default -> record.line("%s does not know %s", name, order);
      }
    }
  }

  private void startDrop(String task, BigInteger run) {
    Drop drop = new Drop(task, run);
    Map<String, Object> job = site.job(drop.uid());
    double cores = site.rig.cores();
    double ramGb = site.rig.ramGb();
    boolean inUse = false;
    for (Drop other : drops.values()) {
      if (!other.status.equals("exited")) {
        cores -= Json.number(site.job(other.uid()).get("cores"));
        ramGb -= Json.number(site.job(other.uid()).get("ram_gb"));
        inUse |= other.task.equals(task);
      }
    }
    drops.put(task + " " + run, drop);
    changed = true;
    if (job == null) {
      exit(drop, "unknown", null);
    } else if (inUse) {
      exit(drop, "in_use", null);
    } else if (cores + 1e-6 < Json.number(job.get("cores"))
        || ramGb + 1e-6 < Json.number(job.get("ram_gb"))) {
      exit(drop, "no_room", null);
    } else {
      String load = (String) job.get("load");
      double nowS = record.seconds();
      if (images.contains(load)) {
        drop.readyS = nowS;
      } else {
        drop.readyS =
            pullEndS.computeIfAbsent(
                load, image -> nowS + Json.number(job.get("pull_gb")) / site.rig.pullGbPerS());
      }
    }
  }

  private void kill(Drop drop, double windDownS) {
    if (drop.status.equals("exited")) {
      return;
    }
    Map<String, Object> job = site.job(drop.uid());
    double stowS = Json.number(job.get("stow_s"));
    boolean saves =
        drop.status.equals("running")
            && Json.number(job.get("waypoint_s")) > 0
            && windDownS >= stowS;
    if (saves) {
      drop.status = "flushing";
      drop.flushedS = record.seconds() + stowS;
      changed = true;
    } else if (!drop.status.equals("flushing") || windDownS == 0) {
      exit(drop, "halted", false);
    }
  }

  private synchronized Http.Answer handle(
      String method, String path, Map<String, String> query, String body)
      throws InterruptedException {
    while (hung() && !gone) {
      wait(100);
    }
    if (gone) {
      return null;
    }
    advance();
    if (path.equals("/status")) {
      return Http.json(200, report());
    }
    Map<String, Object> request = Json.object(body);
    if (request.get("baton") == null || request.get("shift") == null) {
      return Http.json(400, Json.of());
    }
    BigInteger token = Json.count(request.get("baton"));
    if (token.compareTo(baton) < 0 || ((Number) request.get("shift")).longValue() != shift) {
      return Http.json(409, report());
    }
    raise(token);
    execute(Json.list(request.get("orders")));
    notifyAll();
    return Http.json(200, report());
  }
}
