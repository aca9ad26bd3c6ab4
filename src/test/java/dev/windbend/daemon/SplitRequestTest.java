package dev.windbend.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.runtime.RawHttpConnection;
import dev.windbend.runtime.RequestFraming;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Sends requests to a controller over sockets, in pieces that arrive one after another. */
class SplitRequestTest {
  private static final int READ_TIMEOUT_MS = 15_000;
  private static final int MAX_START_ATTEMPTS = 100;
  private static final long PAUSE_MS = 100;
  private static final long WORKER_TIMEOUT_S = 30;
  private static final String ACCEPTED_JOB = "wk-000001";
  private static final String SUBMISSION =
      "{'uid':'%s','fleet':'k','crew':'red','shape':'batch','urgency':'idle','drops':2,"
          + "'cores':1.0,'cards':0.0,'ram_gb':1.0,'load':'i','pull_gb':1.0,'haul_s':500.0,"
          + "'together':false,'spread':false,'standby':true,'waypoint_s':0.0,'stow_s':0.0}";

  private static final String HEARTBEAT =
      "{\"truck\":\"host-999999\",\"addr\":\"127.0.0.1:1\",\"rig\":\"g8\",\"yard\":\"a\",\"standby\":true,"
          + "\"shift\":1,\"tally\":1,\"baton\":0,\"recall_s\":null,\"drops\":[]}";

  private static LoopbackCluster cluster;

  /** Larger than any sequence number of the simulated worker's own heartbeats. */
  private static long nextHeartbeatSequence = 1_000_000;

  @BeforeAll
  static void startClusterAndSubmitJob() throws Exception {
    cluster = new LoopbackCluster(new SimulatedCluster(1));
    cluster.start(0, 1);
    int status = 0;
    for (int attempt = 0; attempt < MAX_START_ATTEMPTS && status != 200; attempt++) {
      TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
      status = exchange(request("POST", "/v1/jobs", submission(ACCEPTED_JOB)), List.of()).status();
    }
    assertThat(status).as("repeated submission").isEqualTo(200);
  }

  @AfterAll
  static void stopCluster() {
    cluster.close();
  }

  private static String submission(String jobId) {
    return SUBMISSION.replace('\'', '"').formatted(jobId);
  }

  private static byte[] request(String method, String path, String body) {
    return RawHttpConnection.request(method, path, body);
  }

  private static RawHttpConnection.Response exchange(byte[] request, List<Integer> boundaries)
      throws Exception {
    InetSocketAddress address = cluster.clientAddress(0);
    try (RawHttpConnection connection = new RawHttpConnection(address, READ_TIMEOUT_MS)) {
      connection.sendInPieces(request, boundaries, PAUSE_MS);
      return connection.readResponse();
    }
  }

  private static void setOutage(boolean outage) throws Exception {
    cluster.callOnEventLoop(
        () -> {
          if (outage) {
            cluster.simulatedCluster.stateService.outage = true;
          } else {
            cluster.simulatedCluster.stateService.endOutage();
          }
          return null;
        });
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({"/v1/jobs", "/v1/jobs/wk-000001/cancel"})
  void splitRequestIsNotConfirmedBeforeItIsStored(String path) throws Exception {
    byte[] request = request("POST", path, submission("wk-000002"));
    setOutage(true);
    RawHttpConnection.Response response = exchange(request, List.of(request.length / 2));
    setOutage(false);
    assertThat(response.status()).isEqualTo(503);
    assertThat(response.header("Retry-After")).isEqualTo("1");
    assertThat(response.body()).isEqualTo("{}");
  }

  private static Stream<Arguments> routesAndFramings() {
    return Stream.of(
            "client|POST|/hello|nonsense|400 {}",
            "client|POST|/hello|" + HEARTBEAT + "|(503 {}|421 {\"dispatcher\":\"n[12]\"})",
            "client|GET|/up||200 {}",
            "client|POST|/v1/jobs|" + submission(ACCEPTED_JOB) + "|200 {\"uid\":\"wk-000001\",.*}",
            "client|POST|/v1/jobs|{}|400 {\"error\":.*}",
            "client|GET|/v1/jobs/wk-000001||200 {\"uid\":\"wk-000001\",.*}",
            "client|GET|/v1/jobs/wk-000009||404 {}",
            "client|POST|/v1/jobs/wk-000009/cancel|{\"by\":\"a user\"}|404 {}",
            "client|POST|/nothing|{\"a\":1}|404 {}",
            "peer|POST|/peer/store|{\"known_up_to\":0}|200 {\"answered_ms_ago\":.*}",
            "peer|POST|/peer/cancelled|{\"cancelled\":[]}|200 {}",
            "peer|POST|/peer/lend|{\"from\":0,\"to\":1,\"request\":{\"count\":0,\"has\":1.0}}|200 {\"count\":0,\"overdue\":0}",
            "peer|GET|/metrics||200 {\"windbend.*}",
            "peer|GET|/zones||200 .*")
        .flatMap(
            row -> Stream.of(RequestFraming.values()).map(framing -> Arguments.of(row, framing)));
  }

  @ParameterizedTest(name = "{0} {1}")
  @MethodSource("routesAndFramings")
  void respondsAlikeHoweverTheRequestArrives(String row, RequestFraming framing) throws Exception {
    String[] cells = row.split("\\|", 5);
    InetSocketAddress address =
        cells[0].equals("peer") ? cluster.peerAddress(0) : cluster.clientAddress(0);
    RawHttpConnection.Response response = exchange(address, framing, cells[1], cells[2], cells[3]);
    assertThat(response.status() + " " + response.body())
        .matches(cells[4].replace("{", "\\{").replace("}", "\\}"));
  }

  @ParameterizedTest(name = "{0}")
  @EnumSource
  void noRequestIsConfirmedWhileStateServiceFails(RequestFraming framing) throws Exception {
    InetSocketAddress address = cluster.clientAddress(0);
    setOutage(true);
    for (String path : List.of("/v1/jobs", "/v1/jobs/wk-000001/cancel")) {
      RawHttpConnection.Response response =
          exchange(address, framing, "POST", path, submission("wk-000003"));
      assertThat(response.status()).as(path).isEqualTo(503);
      assertThat(response.body()).as(path).isEqualTo("{}");
    }
    setOutage(false);
  }

  @ParameterizedTest(name = "{0}")
  @EnumSource(names = {"WHOLE", "SPLIT_IN_BODY", "CHUNKED_SPLIT_IN_CHUNK"})
  void heldHeartbeatIsAnsweredWithItsToken(RequestFraming framing) throws Exception {
    FakeWorker worker = startedWorker();
    List<String> responses = new ArrayList<>();
    for (int controller = 0; controller < cluster.simulatedCluster.controllerCount; controller++) {
      String heartbeat =
          HEARTBEAT
              .replace("host-999999", worker.name)
              .replace("\"baton\":0", "\"baton\":" + worker.fencingToken())
              .replace("\"tally\":1", "\"tally\":" + nextHeartbeatSequence++);
      RawHttpConnection.Response response =
          exchange(cluster.clientAddress(controller), framing, "POST", "/hello", heartbeat);
      responses.add(response.status() + " " + response.body());
    }
    assertThat(responses).anyMatch(response -> response.startsWith("200 {\"baton\":"));
    assertThat(responses).noneMatch(response -> response.equals("200 "));
  }

  /** Boots a machine if there is none, and waits until a controller has answered its worker. */
  private static FakeWorker startedWorker() throws Exception {
    SimulatedCluster simulation = cluster.simulatedCluster;
    cluster.callOnEventLoop(
        () -> simulation.machines.isEmpty() ? simulation.bootMachine("a", false) : "");
    assertThat(
            cluster.awaitCondition(
                WORKER_TIMEOUT_S,
                () -> simulation.machines.values().stream().anyMatch(w -> w.fencingToken() > 0)))
        .as("a worker has a fencing token")
        .isTrue();
    return cluster.callOnEventLoop(
        () ->
            simulation.machines.values().stream()
                .filter(worker -> worker.fencingToken() > 0)
                .findFirst()
                .orElseThrow());
  }

  private static RawHttpConnection.Response exchange(
      InetSocketAddress address, RequestFraming framing, String method, String path, String body)
      throws Exception {
    try (RawHttpConnection connection = new RawHttpConnection(address, READ_TIMEOUT_MS)) {
      framing.send(connection, method, path, body);
      return connection.readResponse();
    }
  }
}
