package dev.windbend.daemon;

import dev.windbend.runtime.HttpServer;
import dev.windbend.runtime.UndertowHttpClient;
import dev.windbend.runtime.XnioEventLoop;
import dev.windbend.shard.Policy;
import io.undertow.connector.ByteBufferPool;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.xnio.XnioWorker;

/**
 * Runs the program for a moment on loopback against services in memory, so that the build's class
 * archive holds the classes that a controller needs: it serves jobs from submission to end, and is
 * followed by a second controller that takes over. A class that is not in the archive is read,
 * checked and linked anew at each start, with a processor share of a few hundredths of a core.
 */
final class ClassArchiveTraining {
  private static final long TAKEOVER_MS = 4_000;
  private static final long RUN_MS = 8_000;
  private static final long STEP_MS = 100;
  private static final long LIMIT_MS = 1_000;
  private static final int JOBS = 40;
  private static final int CANCELLED_EVERY = 5;

  private final Policy policy;
  private final XnioWorker worker;
  private final ByteBufferPool buffers;
  private final XnioEventLoop loop;
  private final UndertowHttpClient web;
  private final TrainingServices services;
  private final Map<String, TrainingWorker> workers = new LinkedHashMap<>();
  private String controller;
  private int submitted;

  private ClassArchiveTraining(
      Policy policy,
      XnioWorker worker,
      ByteBufferPool buffers,
      XnioEventLoop loop,
      UndertowHttpClient web) {
    this.policy = policy;
    this.worker = worker;
    this.buffers = buffers;
    this.loop = loop;
    this.web = web;
    this.services = new TrainingServices(loop);
  }

  static Settings settings() throws Settings.Invalid {
    return settings("127.0.0.1:1");
  }

  private static Settings settings(String services) throws Settings.Invalid {
    return Settings.parse(
        """
        host_name = "rehearsal"
        domain = "zone"
        client_listen = "127.0.0.1:0"
        peer_bind = "127.0.0.1:0"
        [services]
        cloud = "%1$s"
        state = "%1$s"
        [facts]
        size = 1
        zones = ["zone"]
        [[facts.teams]]
        name = "team"
        cpus = 10.0
        cpus_max = 100.0
        gpus = 0.0
        gpus_max = 0.0
        [[facts.objectives]]
        kind = "finished"
        class = "kind"
        within_s = 10.0
        share = 0.9
        [[facts.objectives]]
        kind = "deadline"
        class = "kind"
        times = 1.0
        share = 0.9
        [[facts.objectives]]
        kind = "guarantee"
        within_s = 5.0
        share = 0.9
        [facts.workers]
        report_s = 1.0
        lease_s = 10.0
        cancel_s = 20.0
        [facts.state]
        rps = 1000.0
        write_rps = 200.0
        value_kb = 4.0
        txn_ops = 8
        [facts.cloud]
        rps = 3.0
        list_lag_s = 1.0
        """
            .formatted(services));
  }

  static void run(
      Policy policy,
      XnioWorker worker,
      ByteBufferPool buffers,
      XnioEventLoop loop,
      UndertowHttpClient web) {
    new ClassArchiveTraining(policy, worker, buffers, loop, web).start();
  }

  private void start() {
    InetSocketAddress servicesAddress =
        HttpServer.listen(worker, buffers, "127.0.0.1:0", services::serve);
    startController(servicesAddress);
    loop.every(STEP_MS, this::step);
    loop.after(TAKEOVER_MS, () -> startController(servicesAddress));
    loop.after(RUN_MS, () -> System.exit(0));
  }

  /**
   * A later controller has the name of the first, so it retakes its shard at once. Both go on, so
   * they take it from one another: more takeovers.
   */
  private void startController(InetSocketAddress servicesAddress) {
    Settings settings;
    try {
      settings = settings("127.0.0.1:" + servicesAddress.getPort());
    } catch (Settings.Invalid e) {
      throw new IllegalStateException(e);
    }
    Controller node = new Controller(settings, policy, loop, web);
    InetSocketAddress address = HttpServer.listen(worker, buffers, "127.0.0.1:0", node::serve);
    controller = "127.0.0.1:" + address.getPort();
    loop.after(0, node::start);
  }

  private void step() {
    call("GET", "/up", null);
    if (submitted < JOBS) {
      submit(submitted++);
    }
    for (int job = 0; job < submitted; job += CANCELLED_EVERY) {
      call("GET", "/v1/jobs/" + uid(job), null);
    }
    for (String machine : services.machines()) {
      workers.computeIfAbsent(machine, m -> new TrainingWorker(web, m)).report(controller);
    }
  }

  private void submit(int job) {
    String body =
        """
        {"uid":"%s","fleet":"kind","crew":"team","shape":"batch","urgency":"%s",
         "drops":3,"cores":1.0,"cards":0.0,"ram_gb":1.0,"load":"img","pull_gb":1.0,"rigs":null,
         "yard":null,"together":false,"spread":false,"standby":true,"haul_s":9.0,
         "waypoint_s":5.0,"stow_s":1.0,"due_s":30.0}"""
            .formatted(uid(job), job % 2 == 0 ? "urgent" : "standard");
    call("POST", "/v1/jobs", body);
    if (job % CANCELLED_EVERY == CANCELLED_EVERY - 1) {
      call("POST", "/v1/jobs/" + uid(job - 1) + "/cancel", "");
    }
  }

  private static String uid(int job) {
    return "wk-%06d".formatted(job);
  }

  private void call(String method, String path, String body) {
    byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
    web.call(controller, method, path, bytes, LIMIT_MS, reply -> {});
  }
}
