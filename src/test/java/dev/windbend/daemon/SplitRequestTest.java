package dev.windbend.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.runtime.RawHttpConnection;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Sends requests to a controller over sockets, in pieces that arrive one after another. */
class SplitRequestTest {
  private static final int READ_TIMEOUT_MS = 15_000;
  private static final int MAX_START_ATTEMPTS = 100;
  private static final long PAUSE_MS = 100;
  private static final String ACCEPTED_JOB = "wk-000001";
  private static final String SUBMISSION =
      "{'uid':'%s','fleet':'k','crew':'red','shape':'batch','urgency':'idle','drops':2,"
          + "'cores':1.0,'cards':0.0,'ram_gb':1.0,'load':'i','pull_gb':1.0,'haul_s':500.0,"
          + "'together':false,'spread':false,'standby':true,'waypoint_s':0.0,'stow_s':0.0}";

  private static LoopbackCluster cluster;

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

  @Tag("known-red")
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
}
