package dev.windbend.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.runtime.ClientResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a node answers to single requests. */
class ControllerTest {
  private static final String JOB =
      "{'uid':'wk-000001','fleet':'k','crew':'red','shape':'batch','urgency':'idle','drops':2,"
          + "'cores':1.0,'cards':0.0,'ram_gb':1.0,'load':'i','pull_gb':1.0,'rigs':null,"
          + "'yard':null,'together':false,'spread':false,'standby':true,'haul_s':5.0,"
          + "'waypoint_s':0.0,'stow_s':0.0,'due_s':null}";

  private final SimulatedCluster w = new SimulatedCluster(5);

  ControllerTest() {
    w.loss = 0;
    w.late = 0;
    w.begin(0, 1);
    w.time.runUntil(4_000);
  }

  private ClientResponse ask(int node, String method, String path, String body) {
    ClientResponse[] got = {ClientResponse.NO_RESPONSE};
    w.call(
        "users",
        "n" + node + ":80",
        method,
        path,
        body.replace('\'', '"').getBytes(StandardCharsets.UTF_8),
        5_000,
        r -> got[0] = r);
    w.time.runUntil(w.time.nowMs() + 1_000);
    return got[0];
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
  void answersPlainRequests(String method, String path, int status) {
    assertThat(ask(0, method, path, "").status()).isEqualTo(status);
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
  void judgesSubmissions(String from, String to, int status) {
    assertThat(JOB).contains(from);
    assertThat(ask(1, "POST", "/v1/jobs", JOB.replace(from, to)).status()).isEqualTo(status);
  }

  @Test
  void knowsAJobOnEveryNodeAndForEver() {
    assertThat(ask(0, "POST", "/v1/jobs", JOB).status()).isEqualTo(201);
    assertThat(ask(1, "POST", "/v1/jobs", JOB).status()).isEqualTo(200);
    assertThat(ask(2, "GET", "/v1/jobs/wk-000001", "").status()).isEqualTo(200);
    ClientResponse cancelled = ask(2, "POST", "/v1/jobs/wk-000001/cancel", "");
    assertThat(w.json(cancelled.body()).path("status").asText()).isEqualTo("aborted");
    w.time.runUntil(60_000);
    for (int n = 0; n < 3; n++) {
      ClientResponse r = ask(n, "POST", "/v1/jobs", JOB);
      assertThat(r.status()).isEqualTo(200);
      assertThat(w.json(r.body()).path("status").asText()).isEqualTo("aborted");
    }
  }

  /** The largest job there may be: kept in few keys, asked about and cancelled like any other. */
  @Test
  void keepsAJobOfAHundredThousandTasks() {
    String largest = JOB.replace("'drops':2", "'drops':100000");
    assertThat(ask(0, "POST", "/v1/jobs", largest).status()).isEqualTo(201);
    w.time.runUntil(60_000);
    assertThat(w.json(ask(1, "GET", "/v1/jobs/wk-000001", "").body()).path("status").asText())
        .isEqualTo("running");
    assertThat(w.store.largestValue).as("bytes of a value").isLessThan(4096);
    assertThat(ask(2, "POST", "/v1/jobs/wk-000001/cancel", "").status()).isEqualTo(200);
    w.time.runUntil(120_000);
    assertThat(w.store.liveKeys("w/j/")).isZero();
    assertThat(w.json(ask(0, "GET", "/v1/jobs/wk-000001", "").body()).path("status").asText())
        .isEqualTo("aborted");
  }

  @Test
  void answersAtOnceThatItCanNotDecideInAnOutage() {
    w.store.outage = true;
    assertThat(ask(0, "POST", "/v1/jobs", JOB).status()).isEqualTo(503);
    assertThat(ask(0, "GET", "/v1/jobs/wk-000001", "").status()).isEqualTo(503);
    w.store.recover();
    assertThat(ask(0, "GET", "/v1/jobs/wk-000001", "").status()).isEqualTo(404);
  }

  /** Under load the record of an adoption is long in coming: the machine is dealt out once. */
  @Test
  void adoptsAMachineOnceEvenIfTheRecordComesLate() {
    w.store.holdWrites = "w/h/";
    for (int i = 0; i < 5; i++) {
      w.boot("a", false);
    }
    w.time.runUntil(25_000);
    w.store.holdWrites = "";
    w.time.runUntil(40_000);
    assertThat(w.store.timesNamed("w/h/", "host-")).isEqualTo(5);
  }

  @Test
  void namesTheOwnerToWorkersAndIgnoresStaleOnes() {
    w.boot("a", false);
    w.time.runUntil(30_000);
    // Not adopted twice, and a report from before changes nothing.
    String old =
        "{'truck':'host-000000','addr':'x','rig':'t4','yard':'a','standby':false,'shift':1,"
            + "'tally':1,'baton':0,'recall_s':null,'drops':[{'drop':'wk-000001/0','run':1,"
            + "'status':'exited','cause':'done'}]}";
    int ok = 0;
    for (int n = 0; n < 3; n++) {
      ClientResponse r = ask(n, "POST", "/hello", old);
      if (r.status() == 200) {
        ok++;
        assertThat(w.json(r.body()).path("orders")).isEmpty();
      } else {
        assertThat(r.status()).isEqualTo(421);
        assertThat(w.json(r.body()).path("dispatcher").asText()).startsWith("n");
      }
    }
    assertThat(ok).isEqualTo(1);
  }
}
