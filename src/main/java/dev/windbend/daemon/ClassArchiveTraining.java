package dev.windbend.daemon;

import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpClient;
import dev.windbend.runtime.HttpServerMonitor;
import dev.windbend.shard.Policy;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A training run for the JVM's class archive, which the build creates from the classes loaded in
 * this run. Two controllers run for a few seconds on the loopback interface with an in-memory state
 * service and cloud. The run includes jobs from submission to completion and failovers. A class
 * that is missing from the archive is read, verified and linked at each start of a controller,
 * which may have only a share of a core.
 */
final class ClassArchiveTraining {
  private static final long FAILOVER_AFTER_MS = 4_000;
  private static final long EXIT_AFTER_MS = 8_000;
  private static final long REQUEST_INTERVAL_MS = 100;
  private static final long REQUEST_TIMEOUT_MS = 1_000;
  private static final int JOB_COUNT = 40;
  private static final int JOBS_PER_CANCELLATION = 5;
  private static final String LOOPBACK = "127.0.0.1:";
  private static final String ANY_PORT = LOOPBACK + 0;
  private static final String PLACEHOLDER_ADDRESS = LOOPBACK + 1;

  /** Platform settings; the placeholder is the address of the cloud and the state service. */
  private static final String SETTINGS_TEMPLATE =
      """
      host_name = "training"
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
      """;

  /** A job submission; the placeholders are the job's id and urgency. */
  private static final String SUBMISSION_TEMPLATE =
      """
      {"uid":"%s","fleet":"kind","crew":"team","shape":"batch","urgency":"%s",
       "drops":3,"cores":1.0,"cards":0.0,"ram_gb":1.0,"load":"img","pull_gb":1.0,"rigs":null,
       "yard":null,"together":false,"spread":false,"standby":true,"haul_s":9.0,
       "waypoint_s":5.0,"stow_s":1.0,"due_s":30.0}""";

  private final Policy policy;
  private final IoThread thread;
  private final EventLoop loop;
  private final HttpClient http;
  private final TrainingServices services;
  private final Map<String, TrainingWorker> workers = new LinkedHashMap<>();
  private String controllerAddress;
  private int submittedJobs;

  private ClassArchiveTraining(Policy policy, IoThread thread) {
    this.policy = policy;
    this.thread = thread;
    this.loop = thread.loop();
    this.http = thread.httpClient();
    this.services = new TrainingServices(loop);
  }

  /** Returns settings without usable services; reading them loads the classes of the parser. */
  static Settings settings() throws InvalidSettingsException {
    return settings(PLACEHOLDER_ADDRESS);
  }

  private static Settings settings(String servicesAddress) throws InvalidSettingsException {
    return SettingsReader.parse(SETTINGS_TEMPLATE.formatted(servicesAddress));
  }

  /** Starts the training run and returns. The process exits at the end of the run. */
  static void run(Policy policy, IoThread thread) {
    new ClassArchiveTraining(policy, thread).start();
  }

  private void start() {
    InetSocketAddress servicesAddress =
        thread.listen(ANY_PORT, services::handle, HttpServerMonitor.NONE);
    startController(servicesAddress);
    loop.every(REQUEST_INTERVAL_MS, this::sendRequests);
    loop.after(FAILOVER_AFTER_MS, () -> startController(servicesAddress));
    loop.after(EXIT_AFTER_MS, () -> System.exit(0));
  }

  /**
   * Starts a controller, which receives all requests from then on. The second controller has the
   * name of the first, so it becomes the leader of the shard at once. The first controller keeps
   * running, so that the two depose each other and cause further failovers.
   */
  private void startController(InetSocketAddress servicesAddress) {
    Settings settings;
    try {
      settings = settings(LOOPBACK + servicesAddress.getPort());
    } catch (InvalidSettingsException e) {
      throw new IllegalStateException(e);
    }
    Controller controller = new Controller(settings, policy, loop, http);
    InetSocketAddress address =
        thread.listen(ANY_PORT, controller.clientEndpoints(), controller.httpServerMonitor());
    controllerAddress = LOOPBACK + address.getPort();
    loop.after(0, controller::start);
  }

  /** Sends the requests of a health check, a user and all workers. */
  private void sendRequests() {
    send("GET", "/up", null);
    if (submittedJobs < JOB_COUNT) {
      submit(submittedJobs++);
    }
    for (int job = 0; job < submittedJobs; job += JOBS_PER_CANCELLATION) {
      send("GET", "/v1/jobs/" + uid(job), null);
    }
    for (String machine : services.machineNames()) {
      workers
          .computeIfAbsent(machine, name -> new TrainingWorker(http, name))
          .sendHeartbeat(controllerAddress);
    }
  }

  private void submit(int job) {
    String urgency = job % 2 == 0 ? "urgent" : "standard";
    send("POST", "/v1/jobs", SUBMISSION_TEMPLATE.formatted(uid(job), urgency));
    if (job % JOBS_PER_CANCELLATION == JOBS_PER_CANCELLATION - 1) {
      send("POST", "/v1/jobs/" + uid(job - 1) + "/cancel", "");
    }
  }

  private static String uid(int job) {
    return "wk-%06d".formatted(job);
  }

  /**
   * Sends a request to the controller that was started last and ignores the response.
   *
   * @param body the request body; null for a request without a body
   */
  private void send(String method, String path, String body) {
    byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
    http.call(controllerAddress, method, path, bytes, REQUEST_TIMEOUT_MS, response -> {});
  }
}
