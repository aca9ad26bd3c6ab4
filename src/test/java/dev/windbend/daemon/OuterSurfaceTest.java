package dev.windbend.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.runtime.ClientResponse;
import dev.windbend.runtime.HttpServer;
import dev.windbend.runtime.HttpServerMonitor;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Checks the external interface of a controller apart from the JSON messages: keys in the state
 * service, paths, statuses, headers and metrics. The expected values are literals, so that renaming
 * a constant can't change the interface unnoticed.
 */
class OuterSurfaceTest {
  private static final String ZONE_MONITORING_ENABLED = "[zone]\nenabled = true\n";
  private static final List<String> ZONES = List.of("a", "b");

  private static final String KEY_PATH = "/keys/";

  /** Keys that controllers write, with 0 in place of each number. */
  private final TreeSet<String> writtenKeys = new TreeSet<>();

  /** Keys that controllers read one at a time, with 0 in place of each number. */
  private final TreeSet<String> readKeys = new TreeSet<>();

  /** Ids of the entries of written pages, with 0 in place of each number. */
  private final TreeSet<String> pageEntryIds = new TreeSet<>();

  /** Names of scale-out requests to the cloud, with 0 in place of each number. */
  private final TreeSet<String> scaleOutRequestNames = new TreeSet<>();

  /** Receiver, method and path of each request that controllers send. */
  private final TreeSet<String> requests = new TreeSet<>();

  private SimulatedCluster newCluster(String settings) throws InvalidSettingsException {
    SimulatedCluster cluster = new SimulatedCluster(5);
    cluster.lossProbability = 0;
    cluster.delayProbability = 0;
    cluster.policy = OperatorSettings.parse(settings, ZONES);
    return cluster;
  }

  private static ClientResponse call(
      SimulatedCluster cluster, String address, String method, String path, String body) {
    ClientResponse[] response = {ClientResponse.NO_RESPONSE};
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    cluster.sendRequest("users", address, method, path, bytes, 5_000, r -> response[0] = r);
    cluster.time.runUntil(cluster.time.nowMs() + 1_000);
    return response[0];
  }

  private static String replaceNumbersWithZero(String text) {
    return text.replaceAll("[0-9]+", "0");
  }

  private void recordRequest(
      SimulatedCluster cluster, String address, String method, String path, byte[] body) {
    String receiver =
        switch (address) {
          case "state:1" -> "state";
          case "cloud:1" -> "cloud";
          default -> address.endsWith(":81") ? "peer" : path.equals("/commands") ? "worker" : "";
        };
    if (receiver.isEmpty()) {
      return;
    }
    if (path.startsWith(KEY_PATH)) {
      readKeys.add(replaceNumbersWithZero(path.substring(KEY_PATH.length())));
      requests.add(receiver + " " + method + " " + KEY_PATH + "{key}");
    } else {
      requests.add(receiver + " " + method + " " + path.replaceAll("(from=|/holds/)[0-9]+", "$10"));
    }
    if (path.equals("/hosts")) {
      scaleOutRequestNames.add(
          replaceNumbersWithZero(cluster.parseJson(body).path("hire").asText()));
    }
    if (path.equals("/txn")) {
      for (JsonNode change : cluster.parseJson(body).path("then")) {
        String key = change.has("set") ? change.get("set").asText() : change.get("remove").asText();
        writtenKeys.add(replaceNumbersWithZero(key));
        if (key.startsWith("w/p/")) {
          change
              .path("v")
              .path("e")
              .fieldNames()
              .forEachRemaining(id -> pageEntryIds.add(replaceNumbersWithZero(id)));
        }
      }
    }
  }

  /** Includes every event that makes controllers write a kind of key or send a kind of request. */
  private void runZoneLossScenario() throws InvalidSettingsException {
    SimulatedCluster cluster = newCluster(ZONE_MONITORING_ENABLED);
    cluster.delivery =
        (from, address, method, path, body, done) -> {
          recordRequest(cluster, address, method, path, body);
          cluster.deliver(from, address, method, path, body, done);
        };
    cluster.additionalRunMs = 12_000;
    cluster.start(40, 60_000);
    cluster.time.schedule(30_000, () -> cluster.cancelRunningJobs(5, ""));
    ZoneLossTest.loseZone(cluster, 40_000, 60_000);
    cluster.time.schedule(130_000, () -> cluster.stateService.outage = true);
    cluster.time.schedule(140_000, cluster.stateService::endOutage);
    cluster.time.runUntil(300_000);
  }

  @Test
  void writesExpectedKeysAndSendsExpectedRequests() throws InvalidSettingsException {
    runZoneLossScenario();
    assertThat(writtenKeys)
        .containsExactlyInAnyOrder(
            "a/wk-0", "w/c/0", "w/h/0/g0-0-0", "w/h/0/p0-0-0", "w/j/wk-0", "w/p/0/0", "w/z/0/b");
    assertThat(writtenKeys).as("written keys include each key that is read").containsAll(readKeys);
    assertThat(readKeys).contains("a/wk-0", "w/j/wk-0");
    assertThat(pageEntryIds).containsExactlyInAnyOrder("wk-0/0", "wk-0:0");
    assertThat(scaleOutRequestNames).containsExactly("p0-0-0");
    assertThat(requests)
        .containsExactlyInAnyOrder(
            "cloud GET /hosts?limit=500",
            "cloud GET /machine_types",
            "cloud POST /hosts",
            "cloud POST /hosts/return",
            "peer POST /peer/cancelled",
            "peer POST /peer/lend",
            "peer POST /peer/store",
            "state GET /follow?prefix=w/&from=0&block_ms=3000",
            "state GET /keys/{key}",
            "state GET /keys?prefix=w/&limit=1000",
            "state POST /holds",
            "state POST /holds/0/renew",
            "state POST /txn",
            "worker POST /commands");
  }

  /** Covers requests of peers and operators; ControllerTest covers those of users and workers. */
  @ParameterizedTest(name = "{0} {1} {2} {3}: {4}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "81|GET|/metrics||200",
        "81|POST|/metrics||405",
        "81|GET|/zones||200",
        "81|POST|/zones||405",
        "81|POST|/peer/store|{\"known_up_to\":0}|200",
        "81|POST|/peer/store|nonsense|400",
        "81|GET|/peer/store||405",
        "81|POST|/peer/cancelled|{\"cancelled\":[]}|200",
        "81|POST|/peer/cancelled|{}|400",
        "81|POST|/peer/cancelled|{\"cancelled\":[null]}|400",
        "81|GET|/peer/cancelled||405",
        "81|POST|/peer/lend|{\"from\":0,\"to\":1,\"request\":{\"count\":0,\"has\":1.0}}|200",
        "81|POST|/peer/lend|{\"from\":1,\"to\":1,\"request\":{\"count\":0,\"has\":1.0}}|400",
        "81|POST|/peer/lend|{\"from\":0,\"to\":9,\"request\":{\"count\":0,\"has\":1.0}}|400",
        "81|POST|/peer/lend|{}|400",
        "81|GET|/peer/lend||405",
        "81|GET|/up||404",
        "81|POST|/hello||404",
        "81|GET|/v1/jobs/wk-000001||404",
        "80|GET|/hello||405",
        "80|GET|/metrics||404",
        "80|GET|/zones||404",
        "80|POST|/peer/store|{}|404",
        "80|POST|/peer/cancelled|{}|404",
        "80|POST|/peer/lend|{}|404",
      })
  void returnsExpectedStatusForEachPath(
      int port, String method, String path, String body, int status)
      throws InvalidSettingsException {
    SimulatedCluster cluster = newCluster("");
    cluster.start(0, 1);
    cluster.time.runUntil(4_000);
    String requestBody = body == null ? "" : body;
    assertThat(call(cluster, "n0:" + port, method, path, requestBody).status()).isEqualTo(status);
  }

  /** Responses without content have an empty JSON object as their body. */
  @Test
  void returnsEmptyObjectForUnknownPathAndHealthCheck() throws InvalidSettingsException {
    SimulatedCluster cluster = newCluster("");
    cluster.start(0, 1);
    cluster.time.runUntil(4_000);
    assertThat(call(cluster, "n0:80", "GET", "/nothing", "").body()).asString().isEqualTo("{}");
    assertThat(call(cluster, "n0:80", "GET", "/up", "").body()).asString().isEqualTo("{}");
  }

  @Test
  void exposesExpectedMetrics() throws InvalidSettingsException {
    SimulatedCluster cluster = newCluster("");
    cluster.start(0, 1);
    cluster.time.runUntil(4_000);
    call(cluster, "n0:80", "GET", "/up", "");
    call(cluster, "n0:80", "GET", "/nothing", "");
    assertThat(metricNames(cluster))
        .containsExactly(
            "windbend.answers.200.count",
            "windbend.answers.404.count",
            "windbend.http.requests.broken.count",
            "windbend.http.requests.complete.count",
            "windbend.http.requests.timed_out.count",
            "windbend.http.requests.too_large.count",
            "windbend.http.responses.dropped.client_gone.count",
            "windbend.http.responses.dropped.late.count",
            "windbend.jobs.live.value",
            "windbend.machines.at.task.limit.value",
            "windbend.machines.value",
            "windbend.shards.value",
            "windbend.store.failing.ms.value",
            "windbend.waiting.oldest.s.value");
  }

  @Test
  void exposesZoneMetricsWhenZoneMonitoringIsEnabled() throws InvalidSettingsException {
    SimulatedCluster cluster = newCluster(ZONE_MONITORING_ENABLED);
    cluster.start(0, 1);
    cluster.time.runUntil(4_000);
    assertThat(metricNames(cluster))
        .containsExactly(
            "windbend.http.requests.broken.count",
            "windbend.http.requests.complete.count",
            "windbend.http.requests.timed_out.count",
            "windbend.http.requests.too_large.count",
            "windbend.http.responses.dropped.client_gone.count",
            "windbend.http.responses.dropped.late.count",
            "windbend.jobs.live.value",
            "windbend.machines.at.task.limit.value",
            "windbend.machines.value",
            "windbend.shards.value",
            "windbend.store.failing.ms.value",
            "windbend.waiting.oldest.s.value",
            "windbend.zone.evacuated",
            "windbend.zone.losses",
            "windbend.zone.relapses",
            "windbend.zone.taken_back");
  }

  private static List<String> metricNames(SimulatedCluster cluster) {
    JsonNode metrics = cluster.parseJson(call(cluster, "n0:81", "GET", "/metrics", "").body());
    TreeSet<String> names = new TreeSet<>();
    metrics.fieldNames().forEachRemaining(names::add);
    return List.copyOf(names);
  }

  private static final String JOB_JSON =
      "{'uid':'wk-000001','fleet':'k','crew':'red','shape':'batch','urgency':'idle','drops':2,"
          + "'cores':1.0,'cards':0.0,'ram_gb':1.0,'load':'i','pull_gb':1.0,'haul_s':5.0,"
          + "'together':false,'spread':false,'standby':true,'waypoint_s':0.0,'stow_s':0.0}";

  /** Checks status and body of the response; ControllerTest checks the status in more cases. */
  @ParameterizedTest(name = "{0} -> {1}: {2} {3}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "'drops':2|'drops':2|201|{\"uid\":\"wk-000001\",\"status\":\"pending\"}",
        "'drops':2|'drops':0|400|{\"error\":\"missing or invalid: drops\"}",
        "'urgency':'idle'|'urgency':'IDLE'|400|{\"error\":\"missing or invalid: urgency\"}",
        "'shape':'batch'|'shape':'gang'|400|{\"error\":\"missing or invalid: shape\"}",
        "'crew':'red'|'crew':'pink'|422|{\"error\":\"unknown team\"}",
        "'cores':1.0|'cores':41.0|422|{\"error\":\"one task is over the team's limit\"}",
        "'cores':1.0|'cores':5.0|422|{\"error\":\"a task fits no allowed machine type\"}",
        "{'uid'|['uid'|400|{\"error\":\"not a JSON object\"}",
      })
  void returnsExpectedResponseToSubmission(
      String replacedText, String replacement, int status, String expectedBody)
      throws InvalidSettingsException {
    SimulatedCluster cluster = newCluster("");
    cluster.start(0, 1);
    cluster.time.runUntil(4_000);
    assertThat(JOB_JSON).contains(replacedText);
    ClientResponse response =
        call(
            cluster,
            "n0:80",
            "POST",
            "/v1/jobs",
            JOB_JSON.replace(replacedText, replacement).replace('\'', '"'));
    assertThat(response.status()).isEqualTo(status);
    assertThat(response.body()).asString().isEqualTo(expectedBody);
  }

  /** However the repeated submission is written, an accepted job stays accepted. */
  @ParameterizedTest(name = "{0} -> {1}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "'drops':2|'drops':2.0",
        "'drops':2|'drops':0.2e1",
        "'uid'|'new_field':[[[{}]]],'uid'",
        "'drops':2|'drops':0",
        "'shape':'batch'|'shape':'gang'",
        "'load':'i'|'load':7",
        "'crew':'red'|'crew':'pink'",
        "'cores':1.0|'cores':41.0",
        "'fleet':'k',|``",
      })
  void returns200ToRepeatedSubmissionOfAcceptedJob(String replacedText, String replacement)
      throws InvalidSettingsException {
    SimulatedCluster cluster = newCluster("");
    cluster.start(0, 1);
    cluster.time.runUntil(4_000);
    String submission = JOB_JSON.replace('\'', '"');
    String repeated = JOB_JSON.replace(replacedText, replacement).replace('\'', '"');
    assertThat(call(cluster, "n0:80", "POST", "/v1/jobs", submission).status()).isEqualTo(201);
    for (int controller = 0; controller < cluster.controllerCount; controller++) {
      ClientResponse response =
          call(cluster, "n" + controller + ":80", "POST", "/v1/jobs", repeated);
      assertThat(response.status()).isEqualTo(200);
      assertThat(response.body()).asString().startsWith("{\"uid\":\"wk-000001\",\"status\":");
    }
  }

  @ParameterizedTest(name = "name of {0} characters: {1}")
  @CsvSource({"3000,201", "4096,400", "60000,400"})
  void rejectsForGoodJobWhoseRecordExceedsTheSizeOfAStoredValue(int nameLength, int status)
      throws InvalidSettingsException {
    SimulatedCluster cluster = newCluster("");
    cluster.start(0, 1);
    cluster.time.runUntil(4_000);
    String submission =
        JOB_JSON
            .replace("'load':'i'", "'load':'" + "i".repeat(nameLength) + "'")
            .replace('\'', '"');
    assertThat(call(cluster, "n0:80", "POST", "/v1/jobs", submission).status()).isEqualTo(status);
  }

  /**
   * The controller gets no response to any of its requests, so it can't answer the user's request
   * yet.
   */
  @ParameterizedTest(name = "{0} {1}")
  @CsvSource({
    "POST,/v1/jobs",
    "GET,/v1/jobs/wk-000001",
    "POST,/v1/jobs/wk-000001/cancel",
  })
  void returns503WithRetryAfterOfOneSecondWhenOtherServicesDoNotRespond(String method, String path)
      throws InvalidSettingsException {
    SimulatedCluster cluster = newCluster("");
    Controller controller =
        new Controller(
            SettingsReader.parse(cluster.controllerSettings(0)),
            cluster.policy,
            cluster.time.new ProcessLoop(0, 0, () -> 0L),
            (address, callMethod, callPath, body, limitMs, done) ->
                cluster.time.schedule(limitMs, () -> done.accept(ClientResponse.NO_RESPONSE)));
    List<ServerResponse> responses = new ArrayList<>();
    byte[] body = JOB_JSON.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    controller
        .clientEndpoints()
        .handle(new ServerRequest(method, path, Map.of(), body), responses::add);
    cluster.time.runUntil(30_000);
    assertThat(responses).hasSize(1);
    assertThat(responses.get(0).status()).isEqualTo(503);
    assertThat(responses.get(0).retryAfterS()).isEqualTo(1);
    assertThat(responses.get(0).body()).asString().isEqualTo("{}");
  }

  // ---- headers

  @Test
  void sendsExpectedHeadersAndRejectsBodyOver64KiB() throws IOException, InterruptedException {
    XnioWorker worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .getMap());
    try {
      DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, 8_192, 100, 4);
      InetSocketAddress address =
          HttpServer.listen(
              worker,
              buffers,
              "127.0.0.1:0",
              (request, done) ->
                  done.accept(
                      request.path().equals("/later")
                          ? ServerResponse.retryAfter(7)
                          : ServerResponse.ofStatus(200)),
              HttpServerMonitor.NONE);
      HttpResponse<String> retryLaterResponse = post(address, "/later", 2);
      assertThat(retryLaterResponse.statusCode()).isEqualTo(503);
      assertThat(retryLaterResponse.headers().firstValue("Retry-After")).hasValue("7");
      assertThat(retryLaterResponse.headers().firstValue("Content-Type"))
          .hasValue("application/json");
      assertThat(retryLaterResponse.body()).isEqualTo("{}");
      HttpResponse<String> okResponse = post(address, "/now", 64 * 1024);
      assertThat(okResponse.statusCode()).isEqualTo(200);
      assertThat(okResponse.headers().map().keySet())
          .containsExactlyInAnyOrder("content-type", "content-length");
      assertThat(post(address, "/now", 64 * 1024 + 1).statusCode()).isEqualTo(413);
    } finally {
      worker.shutdownNow();
      worker.awaitTermination(5, TimeUnit.SECONDS);
    }
  }

  private static HttpResponse<String> post(InetSocketAddress server, String path, int bodyBytes)
      throws IOException, InterruptedException {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .build()
        .send(
            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.getPort() + path))
                .POST(HttpRequest.BodyPublishers.ofString("x".repeat(bodyBytes)))
                .build(),
            HttpResponse.BodyHandlers.ofString());
  }
}
