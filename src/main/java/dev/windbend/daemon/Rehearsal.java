package dev.windbend.daemon;

import dev.windbend.daemon.io.EventLoop;
import dev.windbend.daemon.io.Web;
import dev.windbend.shard.Policy;
import io.undertow.connector.ByteBufferPool;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.xnio.XnioWorker;

/**
 * Runs the program for a moment on loopback against canned answers, so that the build's class
 * archive holds the classes that a start needs. Serves nobody.
 */
final class Rehearsal {
  private static final long RUN_MS = 2_500;

  private Rehearsal() {}

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
        [facts.workers]
        report_s = 1.0
        lease_s = 10.0
        cancel_s = 20.0
        [facts.state]
        rps = 100.0
        write_rps = 20.0
        value_kb = 4.0
        txn_ops = 8
        [facts.cloud]
        rps = 3.0
        list_lag_s = 4.0
        """
            .formatted(services));
  }

  static void run(
      Policy policy, XnioWorker worker, ByteBufferPool buffers, XnioLoop loop, UndertowWeb web) {
    InetSocketAddress standIn =
        Server.listen(worker, buffers, "127.0.0.1:0", (r, done) -> canned(loop, r, done));
    Settings settings;
    try {
      settings = settings("127.0.0.1:" + standIn.getPort());
    } catch (Settings.Invalid e) {
      throw new IllegalStateException(e);
    }
    Node node = new Node(settings, policy, loop, web);
    InetSocketAddress users = Server.listen(worker, buffers, "127.0.0.1:0", node::serve);
    String address = "127.0.0.1:" + users.getPort();
    loop.after(0, node::start);
    byte[] job =
        """
        {"uid":"wk-000001","fleet":"kind","crew":"team","shape":"batch","urgency":"urgent",
         "drops":3,"cores":1.0,"cards":0.0,"ram_gb":1.0,"load":"img","pull_gb":1.0,"rigs":null,
         "yard":null,"together":false,"spread":false,"standby":true,"haul_s":9.0,
         "waypoint_s":5.0,"stow_s":1.0,"due_s":30.0}"""
            .getBytes(StandardCharsets.UTF_8);
    byte[] hello =
        """
        {"truck":"host-1","addr":"127.0.0.1:9","rig":"t","yard":"zone","standby":true,"shift":1,
         "tally":2,"baton":0,"recall_s":null,"drops":[{"drop":"wk-000001/0","run":1,
         "status":"running"}]}"""
            .getBytes(StandardCharsets.UTF_8);
    loop.every(
        300,
        () -> {
          web.call(address, "GET", "/up", null, 1_000, r -> {});
          web.call(address, "POST", "/v1/jobs", job, 1_000, r -> {});
          web.call(address, "GET", "/v1/jobs/wk-000001", null, 1_000, r -> {});
          web.call(address, "POST", "/hello", hello, 1_000, r -> {});
        });
    loop.after(RUN_MS, () -> System.exit(0));
  }

  private static void canned(
      EventLoop loop, Web.Request r, java.util.function.Consumer<Web.Answer> done) {
    String spec =
        "{\"uid\":\"wk-000001\",\"kind\":\"kind\",\"team\":\"team\",\"urgency\":\"URGENT\","
            + "\"tasks\":3,\"cores\":1,\"ram\":1,\"image\":\"img\",\"spot\":true,\"estimateS\":9}";
    String live = "{\"spec\":" + spec + ",\"at\":1,\"piece\":{\"n\":0,\"d\":\"\"}}";
    String body =
        switch (r.path()) {
          case "/machine_types" ->
              "{\"rigs\":[{\"label\":\"t\",\"cores\":8,\"cards\":0,\"ram_gb\":8,\"cache_gb\":9,"
                  + "\"pull_gb_per_s\":1,\"rate\":1,\"low_price\":0.5,\"ready_s\":5,"
                  + "\"yards\":[\"zone\"]}]}";
          case "/hosts" -> "{\"trucks\":[\"host-1\"]}";
          case "/holds" -> "{\"permit\":1}";
          case "/keys" ->
              "{\"pairs\":[{\"path\":\"w/j/wk-000001\",\"v\":"
                  + live
                  + ",\"stamp\":1}],\"has_next\":false,\"ledger\":9}";
          case "/follow" ->
              "{\"ledger\":9,\"log\":[{\"set\":\"w/c/0\",\"v\":{\"owner\":\"rehearsal\"},"
                  + "\"stamp\":9}]}";
          case "/keys/w/j/wk-000001" ->
              "{\"path\":\"w/j/wk-000001\",\"v\":" + live + ",\"stamp\":1}";
          default -> "{\"ledger\":9}";
        };
    loop.after(
        r.path().equals("/follow") ? 100 : 0,
        () -> done.accept(new Web.Answer(200, body.getBytes(StandardCharsets.UTF_8), 0)));
  }
}
