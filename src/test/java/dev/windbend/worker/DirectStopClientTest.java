package dev.windbend.worker;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.runtime.ClientResponse;
import dev.windbend.runtime.Json;
import dev.windbend.runtime.ManualEventLoop;
import dev.windbend.runtime.ManualHttpClient;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class DirectStopClientTest {
  private static final int FLEET_SIZE = 4_000;
  private static final int MAX_CALLS_IN_PROGRESS = 12;
  private static final int MAX_REQUEST_BYTES = 65_536;

  private final ManualEventLoop loop = new ManualEventLoop(1_000);
  private final ManualHttpClient httpClient = new ManualHttpClient();
  private final DirectStopClient client = new DirectStopClient(loop, httpClient, 3);

  /** Replies to all calls, including those that follow a reply. */
  private void replyToAll(ClientResponse reply) {
    for (int call = 0; call < httpClient.responseCallbacks.size(); call++) {
      httpClient.responseCallbacks.get(call).accept(reply);
    }
  }

  private void cancelHugeArray() {
    for (int i = 0; i < FLEET_SIZE; i++) {
      WorkerMessages.Command stop = WorkerMessages.Command.stop("wk-000001/" + i, 1, 0);
      client.send("10.0.0." + i + ":9000", 1, 1, List.of(stop));
    }
  }

  /**
   * Guards against discarding stops when the tasks of one job run on every machine of a fleet of
   * 4,000.
   */
  @Test
  void sendsOneStopToEveryMachineOfLargeFleet() {
    cancelHugeArray();
    assertThat(httpClient.addresses).as("calls in progress").hasSize(MAX_CALLS_IN_PROGRESS);
    replyToAll(new ClientResponse(200, new byte[0]));
    assertThat(httpClient.addresses).doesNotHaveDuplicates().hasSize(FLEET_SIZE);
  }

  /**
   * Guards against one request with all stops of a machine, which may exceed its limit of bytes.
   */
  @Test
  void dividesStopsForOneMachineAmongRequests() {
    List<WorkerMessages.Command> stops = new ArrayList<>();
    for (int task = 0; task < 2_000; task++) {
      stops.add(WorkerMessages.Command.stop("wk-000001/" + task, 1L << 62, 0));
    }
    client.send("10.0.0.1:9000", Long.MAX_VALUE, Long.MAX_VALUE, stops);
    List<WorkerMessages.Command> sent = new ArrayList<>();
    for (byte[] body : httpClient.bodies) {
      assertThat(body).hasSizeLessThanOrEqualTo(MAX_REQUEST_BYTES);
      sent.addAll(Json.read(body, WorkerMessages.DirectCommands.class).commands());
    }
    assertThat(sent).isEqualTo(stops);
  }

  @Test
  void discardsStopsQueuedForHeartbeatInterval() {
    cancelHugeArray();
    loop.nowMs += 3_000;
    replyToAll(ClientResponse.NO_RESPONSE);
    assertThat(httpClient.addresses).hasSize(MAX_CALLS_IN_PROGRESS);
  }
}
