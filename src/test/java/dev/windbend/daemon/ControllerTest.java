package dev.windbend.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.runtime.ClientResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Responses of a controller to single requests. */
class ControllerTest {
  private static final String SUBMISSION =
      "{'uid':'wk-000001','fleet':'k','crew':'red','shape':'batch','urgency':'idle','drops':2,"
          + "'cores':1.0,'cards':0.0,'ram_gb':1.0,'load':'i','pull_gb':1.0,'rigs':null,"
          + "'yard':null,'together':false,'spread':false,'standby':true,'haul_s':5.0,"
          + "'waypoint_s':0.0,'stow_s':0.0,'due_s':null}";

  private final SimulatedCluster cluster = new SimulatedCluster(5);

  ControllerTest() {
    cluster.lossProbability = 0;
    cluster.delayProbability = 0;
    cluster.start(0, 1);
    cluster.time.runUntil(4_000);
  }

  private ClientResponse sendRequest(int controller, String method, String path, String body) {
    ClientResponse[] received = {ClientResponse.NO_RESPONSE};
    cluster.sendRequest(
        "users",
        "n" + controller + ":80",
        method,
        path,
        body.replace('\'', '"').getBytes(StandardCharsets.UTF_8),
        5_000,
        response -> received[0] = response);
    cluster.time.runUntil(cluster.time.nowMs() + 1_000);
    return received[0];
  }

  @ParameterizedTest(name = "{0} {1}: {2}")
  @CsvSource({
    "GET,/up,200",
    "POST,/up,405",
    "GET,/nothing,404",
    "GET,/v1/jobs,405",
    "POST,/v1/jobs/wk-000001,405",
    "GET,/v1/jobs/wk-000001,404",
    "GET,/v1/jobs/nonsense,404",
    "POST,/v1/jobs/wk-000001/cancel,404",
    "POST,/v1/jobs/wk-000001/other,404",
    "POST,/v1/jobs,400",
    "POST,/hello,400",
  })
  void returnsStatusForRequestWithoutBody(String method, String path, int status) {
    assertThat(sendRequest(0, method, path, "").status()).isEqualTo(status);
  }

  @ParameterizedTest(name = "{0} -> {1}: {2}")
  @CsvSource(
      quoteCharacter = '`',
      value = {
        "'cores':1.0,'cores':1.0,201",
        "'crew':'red','crew':'pink',422",
        "'cores':1.0,'cores':5.0,422",
        "'cores':1.0,'cores':41.0,422",
        "'cards':0.0,'cards':1.0,422",
        "'ram_gb':1.0,'ram_gb':99.0,422",
        "'rigs':null,'rigs':['none'],422",
        "'yard':null,'yard':'moon',422",
        "'drops':2,'drops':100000,201",
        "'drops':2,'drops':-2,400",
      })
  void admitsOrRejectsSubmissions(String original, String replacement, int status) {
    assertThat(SUBMISSION).contains(original);
    assertThat(
            sendRequest(1, "POST", "/v1/jobs", SUBMISSION.replace(original, replacement)).status())
        .isEqualTo(status);
  }

  @Test
  void everyControllerKnowsJobAfterItsEnd() {
    assertThat(sendRequest(0, "POST", "/v1/jobs", SUBMISSION).status()).isEqualTo(201);
    assertThat(sendRequest(1, "POST", "/v1/jobs", SUBMISSION).status()).isEqualTo(200);
    assertThat(sendRequest(2, "GET", "/v1/jobs/wk-000001", "").status()).isEqualTo(200);
    ClientResponse cancelled = sendRequest(2, "POST", "/v1/jobs/wk-000001/cancel", "");
    assertThat(cluster.parseJson(cancelled.body()).path("status").asText()).isEqualTo("aborted");
    cluster.time.runUntil(60_000);
    for (int controller = 0; controller < 3; controller++) {
      ClientResponse response = sendRequest(controller, "POST", "/v1/jobs", SUBMISSION);
      assertThat(response.status()).isEqualTo(200);
      assertThat(cluster.parseJson(response.body()).path("status").asText()).isEqualTo("aborted");
    }
  }

  /**
   * A job of the maximum size is stored in few keys, within the size limit of a value, and can be
   * queried and cancelled like any other job.
   */
  @Test
  void runsAndCancelsJobWith100000Tasks() {
    String largest = SUBMISSION.replace("'drops':2", "'drops':100000");
    assertThat(sendRequest(0, "POST", "/v1/jobs", largest).status()).isEqualTo(201);
    cluster.time.runUntil(60_000);
    assertThat(
            cluster
                .parseJson(sendRequest(1, "GET", "/v1/jobs/wk-000001", "").body())
                .path("status")
                .asText())
        .isEqualTo("running");
    assertThat(cluster.stateService.largestValueBytes)
        .as("largest stored value in bytes")
        .isLessThan(4096);
    assertThat(sendRequest(2, "POST", "/v1/jobs/wk-000001/cancel", "").status()).isEqualTo(200);
    cluster.time.runUntil(120_000);
    assertThat(cluster.stateService.countKeys("w/j/")).isZero();
    assertThat(
            cluster
                .parseJson(sendRequest(0, "GET", "/v1/jobs/wk-000001", "").body())
                .path("status")
                .asText())
        .isEqualTo("aborted");
  }

  @Test
  void returns503DuringStoreOutage() {
    cluster.stateService.outage = true;
    assertThat(sendRequest(0, "POST", "/v1/jobs", SUBMISSION).status()).isEqualTo(503);
    assertThat(sendRequest(0, "GET", "/v1/jobs/wk-000001", "").status()).isEqualTo(503);
    cluster.stateService.endOutage();
    assertThat(sendRequest(0, "GET", "/v1/jobs/wk-000001", "").status()).isEqualTo(404);
  }

  /**
   * Guards against a machine that is adopted twice: under load, the write of the adoption's record
   * is delayed, and the machine sends further heartbeats before the record is stored.
   */
  @Test
  void adoptsMachineOnceIfRecordWriteIsDelayed() {
    cluster.stateService.rejectedKeyPrefix = "w/h/";
    for (int i = 0; i < 5; i++) {
      cluster.bootMachine("a", false);
    }
    cluster.time.runUntil(25_000);
    cluster.stateService.rejectedKeyPrefix = "";
    cluster.time.runUntil(40_000);
    assertThat(cluster.stateService.countOccurrences("w/h/", "host-")).isEqualTo(5);
  }

  @Test
  void redirectsWorkersToTheLeaderAndIgnoresStaleHeartbeats() {
    cluster.bootMachine("a", false);
    cluster.time.runUntil(30_000);
    // The machine must not be adopted again, and a stale heartbeat must have no effect.
    String staleHeartbeat =
        "{'truck':'host-000000','addr':'x','rig':'t4','yard':'a','standby':false,'shift':1,"
            + "'tally':1,'baton':0,'recall_s':null,'drops':[{'drop':'wk-000001/0','run':1,"
            + "'status':'exited','cause':'done'}]}";
    int handled = 0;
    for (int controller = 0; controller < 3; controller++) {
      ClientResponse response = sendRequest(controller, "POST", "/hello", staleHeartbeat);
      if (response.status() == 200) {
        handled++;
        assertThat(cluster.parseJson(response.body()).path("orders")).isEmpty();
      } else {
        assertThat(response.status()).isEqualTo(421);
        assertThat(cluster.parseJson(response.body()).path("dispatcher").asText()).startsWith("n");
      }
    }
    assertThat(handled).isEqualTo(1);
  }
}
