import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A stand-in for the worker of a machine, as PROTOCOL describes it. */
final class Worker {
  static final double PULL_GB_PER_S = 0.3;
  private static final int ANSWER_TIMEOUT_MS = 4_000;
  private static final long MIN_REPORT_PAUSE_MS = 500;
  private static final int LONGEST_MESSAGE = 64 * 1024;

  final String name;
  final boolean standby;
  final long rentedAtMs;
  private final Lab lab;
  private final String type;
  private final double cores;
  private final double ramGb;
  private final Random random;
  private final HttpServer server;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Map<String, Long> images = new LinkedHashMap<>();
  private long shift = 1;
  private long tally;
  private long baton;
  private long leaseFromMs;
  private long batonChangeReportedMs = Long.MIN_VALUE / 2;
  private boolean changed;
  private boolean started;
  private boolean gone;
  private boolean hung;
  private long hungSinceMs;
  private int node;

  /** Every task that starts on this machine fails. */
  volatile boolean sick;

  private static final class Task {
    String drop;
    long run;
    String status;
    String cause;
    boolean saved;
    Lab.Job job;
    long imageAtMs;
    long endsAtMs;
    long savedAtMs;
    Lab.Stay stay;

    boolean exited() {
      return status.equals("exited");
    }
  }

  Worker(Lab lab, String name, String type, double cores, double ramGb, boolean standby)
      throws Exception {
    this.lab = lab;
    this.name = name;
    this.type = type;
    this.cores = cores;
    this.ramGb = ramGb;
    this.standby = standby;
    this.rentedAtMs = lab.nowMs();
    this.random = new Random(lab.seed + name.hashCode());
    this.node = random.nextInt(lab.nodes.size());
    this.server = Http.serve(0, this::handle);
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  synchronized boolean started() {
    return started;
  }

  void boot(long afterMs) {
    Http.THREADS.submit(
        () -> {
          Lab.sleep(afterMs);
          synchronized (this) {
            if (gone) {
              return;
            }
            started = true;
            leaseFromMs = lab.nowMs();
          }
          lab.record(name, "is up");
          Http.THREADS.submit(this::tickForEver);
          reportForEver();
        });
  }

  /** The machine and all that was on it are gone. */
  void gone(String why) {
    synchronized (this) {
      gone = true;
      for (Task task : tasks.values()) {
        leave(task, "machine " + why);
      }
      tasks.clear();
      notifyAll();
    }
    lab.record(name, "is gone: " + why);
    server.stop(0);
  }

  /** The machine stands still, or goes on. */
  synchronized void hang(boolean on) {
    if (on == hung || gone) {
      return;
    }
    lab.record(name, on ? "hangs" : "goes on after a hang");
    if (on) {
      hungSinceMs = lab.nowMs();
    } else {
      long hungForMs = lab.nowMs() - hungSinceMs;
      for (Task task : tasks.values()) {
        task.imageAtMs += hungForMs;
        task.endsAtMs += hungForMs;
        task.savedAtMs += hungForMs;
      }
    }
    hung = on;
    if (!on) {
      tick();
    }
    notifyAll();
  }

  private synchronized void awaitNoHang() throws InterruptedException {
    while (hung && !gone) {
      wait();
    }
  }

  private void tickForEver() {
    while (true) {
      Lab.sleep(20);
      synchronized (this) {
        if (gone) {
          return;
        }
        if (!hung) {
          tick();
        }
      }
    }
  }

  private void tick() {
    long now = lab.nowMs();
    if (now - leaseFromMs > lab.leaseS * 1000) {
      lab.record(name, "lease ended, " + tasks.size() + " tasks killed and forgotten");
      for (Task task : tasks.values()) {
        leave(task, "lease ended");
      }
      tasks.clear();
      shift++;
      leaseFromMs = now;
      change();
    }
    for (Task task : tasks.values()) {
      switch (task.status) {
        case "pulling" -> {
          if (now >= task.imageAtMs) {
            begin(task, now);
          }
        }
        case "running" -> {
          if (now >= task.endsAtMs) {
            exit(task, task.cause == null ? "done" : task.cause);
          }
        }
        case "flushing" -> {
          if (now >= task.savedAtMs) {
            task.saved = true;
            exit(task, "halted");
          }
        }
        default -> {}
      }
    }
  }

  private void begin(Task task, long now) {
    task.status = "running";
    task.stay = lab.taskOn(task.drop, task.run, name);
    if (lab.results.contains(task.drop)) {
      exit(task, "done");
      return;
    }
    boolean fails = sick;
    task.cause = fails ? "error" : null;
    task.endsAtMs = now + (fails ? 200 : (long) (1000 * task.job.runS));
    change();
  }

  private void exit(Task task, String cause) {
    task.status = "exited";
    task.cause = cause;
    if (cause.equals("done")) {
      lab.results.add(task.drop);
      lab.record(name, "task done " + task.drop + " run " + task.run);
    }
    leave(task, cause);
    change();
  }

  private void leave(Task task, String why) {
    if (task.stay != null) {
      lab.taskOff(task.stay, why);
      task.stay = null;
    }
  }

  private void change() {
    changed = true;
    notifyAll();
  }

  private Map<String, Object> report() {
    List<Object> drops = new ArrayList<>();
    for (Task task : tasks.values()) {
      Map<String, Object> drop =
          Json.map("drop", task.drop, "run", task.run, "status", task.status);
      if (task.exited()) {
        drop.put("cause", task.cause);
        if (task.saved) {
          drop.put("saved", true);
        }
      }
      drops.add(drop);
    }
    return Json.map(
        "truck",
        name,
        "addr",
        address(),
        "rig",
        type,
        "yard",
        lab.zone,
        "standby",
        standby,
        "shift",
        shift,
        "tally",
        ++tally,
        "baton",
        baton,
        "recall_s",
        null,
        "drops",
        drops);
  }

  private void reportForEver() {
    try {
      long lastMs = Long.MIN_VALUE / 2;
      while (true) {
        awaitNoHang();
        long intervalMs = (long) (1000 * lab.reportS * (0.75 + 0.5 * random.nextDouble()));
        synchronized (this) {
          while (!gone
              && (hung
                  || lab.nowMs() - lastMs < (changed ? MIN_REPORT_PAUSE_MS : intervalMs))) {
            wait(10);
          }
          if (gone) {
            return;
          }
        }
        lastMs = lab.nowMs();
        long pauseMs = sendReport();
        if (pauseMs > 0) {
          Lab.sleep(pauseMs);
          lastMs = Long.MIN_VALUE / 2;
        } else if (pauseMs < 0) {
          lastMs = Long.MIN_VALUE / 2;
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException e) {
      e.printStackTrace();
    }
  }

  /** Returns how long to wait before the next node is asked; 0: the node is kept; -1: at once. */
  private long sendReport() throws InterruptedException {
    String body;
    long sentShift;
    int exited = 0;
    int onIt;
    synchronized (this) {
      changed = false;
      body = Json.write(report());
      sentShift = shift;
      onIt = tasks.size();
      for (Task task : tasks.values()) {
        exited += task.exited() ? 1 : 0;
      }
    }
    Lab.Node to = lab.nodes.get(node);
    long sentMs = lab.nowMs();
    if (body.length() > LONGEST_MESSAGE) {
      lab.record(name, "REPORT OF " + body.length() + " BYTES, over the 65536 of a request body");
      lab.longReports.incrementAndGet();
    }
    Http.Reply reply = Http.call(to.client, "POST", "/hello", body, ANSWER_TIMEOUT_MS);
    awaitNoHang();
    String head =
        "report to " + to.name + " (shift " + sentShift + ", baton " + baton + ", tasks " + onIt
            + ", exited " + exited + ", bytes " + body.length() + ") -> " + reply.status();
    if (reply.status() == 200) {
      return takeAnswer(reply, sentMs, sentShift, head);
    }
    lab.record(name, head + (reply.status() == 421 ? " " + reply.body() : ""));
    synchronized (this) {
      if (reply.status() == 421) {
        Object named = Json.object(reply.body()).get("dispatcher");
        for (int i = 0; i < lab.nodes.size(); i++) {
          if (i != node && lab.nodes.get(i).name.equals(named)) {
            node = i;
            return -1;
          }
        }
      }
      node = (node + 1) % lab.nodes.size();
      return 1000;
    }
  }

  private synchronized long takeAnswer(
      Http.Reply reply, long sentMs, long sentShift, String head) {
    int longest = 0;
    for (String line : reply.body().split("\n")) {
      longest = Math.max(longest, line.length());
    }
    if (longest > LONGEST_MESSAGE) {
      lab.record(name, head + ", A LINE OF " + longest + " BYTES, over 65536: dropped");
      lab.longLines.incrementAndGet();
      return 0;
    }
    Map<String, Object> answer = Json.object(reply.body());
    Object token = answer.get("baton");
    List<Map<String, Object>> orders = Json.list(answer.get("orders"));
    String text = Json.write(answer);
    lab.record(name, head + " " + (text.length() > 400 ? text.substring(0, 400) + "..." : text));
    if (gone
        || lab.nowMs() - sentMs > ANSWER_TIMEOUT_MS
        || sentShift != shift
        || token == null
        || Json.integer(token) < baton) {
      lab.record(name, "answer dropped");
      return 0;
    }
    see(Json.integer(token));
    leaseFromMs = Math.max(leaseFromMs, sentMs);
    execute(orders);
    return 0;
  }

  private void see(long token) {
    if (token > baton) {
      baton = token;
      if (lab.nowMs() - batonChangeReportedMs >= lab.leaseS * 500) {
        batonChangeReportedMs = lab.nowMs();
        change();
      }
    }
  }

  private void execute(List<Map<String, Object>> orders) {
    for (Map<String, Object> order : orders) {
      String drop = (String) order.get("drop");
      long run = Json.integer(order.get("run"));
      Task task = tasks.get(drop + " " + run);
      switch ((String) order.get("order")) {
        case "start" -> {
          if (task == null) {
            start(drop, run);
          }
        }
        case "kill" -> {
          if (task != null && !task.exited()) {
            stop(task, Json.number(order.get("wind_down_s")));
          }
        }
        case "reap" -> {
          if (task != null && task.exited()) {
            tasks.remove(drop + " " + run);
            change();
          }
        }
        default -> throw new IllegalStateException("order " + order);
      }
    }
  }

  private void start(String drop, long run) {
    Task task = new Task();
    task.drop = drop;
    task.run = run;
    task.status = "pulling";
    task.job = lab.jobs.get(drop.substring(0, drop.indexOf('/')));
    String refused = task.job == null ? "unknown" : null;
    double usedCores = 0;
    double usedRam = 0;
    for (Task other : tasks.values()) {
      if (!other.exited()) {
        usedCores += other.job.cores;
        usedRam += other.job.ramGb;
        refused = other.drop.equals(drop) ? "in_use" : refused;
      }
    }
    if (refused == null
        && (usedCores + task.job.cores > cores + 1e-6
            || usedRam + task.job.ramGb > ramGb + 1e-6)) {
      refused = "no_room";
    }
    tasks.put(drop + " " + run, task);
    change();
    if (refused != null) {
      lab.record(name, "start of " + drop + " run " + run + " refused: " + refused);
      task.status = "exited";
      task.cause = refused;
      return;
    }
    long now = lab.nowMs();
    task.imageAtMs =
        images.computeIfAbsent(
            task.job.image, image -> now + (long) (1000 * task.job.pullGb / PULL_GB_PER_S));
    task.imageAtMs = Math.max(now, task.imageAtMs);
  }

  private void stop(Task task, double windDownS) {
    boolean saves =
        task.status.equals("running")
            && task.job.waypointS > 0
            && windDownS >= task.job.stowS
            && task.cause == null;
    if (saves) {
      task.status = "flushing";
      task.savedAtMs = lab.nowMs() + (long) (1000 * task.job.stowS);
      change();
    } else if (!task.status.equals("flushing") || windDownS == 0) {
      exit(task, "halted");
    }
  }

  /** Direct commands and questions. */
  private Http.Reply handle(Http.Request request) throws InterruptedException {
    awaitNoHang();
    synchronized (this) {
      if (gone || !started) {
        return null;
      }
      if (request.path().equals("/status")) {
        return Http.Reply.of(200, report());
      }
      Map<String, Object> body = Json.object(request.body());
      if (body.get("baton") == null || body.get("shift") == null) {
        return Http.Reply.of(400, Json.map());
      }
      boolean accepted =
          Json.integer(body.get("baton")) >= baton && Json.integer(body.get("shift")) == shift;
      String text = request.body();
      lab.record(
          name,
          "command "
              + (accepted ? "executed " : "refused ")
              + (text.length() > 400 ? text.substring(0, 400) + "..." : text));
      if (!accepted) {
        return Http.Reply.of(409, report());
      }
      see(Json.integer(body.get("baton")));
      execute(Json.list(body.get("orders")));
      return Http.Reply.of(200, report());
    }
  }
}
