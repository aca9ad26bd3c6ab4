package dev.windbend.worker;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.runtime.ClientResponse;
import dev.windbend.runtime.ManualEventLoop;
import dev.windbend.runtime.ManualHttpClient;
import java.util.List;
import org.junit.jupiter.api.Test;

class DirectStopClientTest {
  private static final int FLEET_SIZE = 4_000;
  private static final int MAX_CALLS_IN_PROGRESS = 12;

  private final ManualEventLoop loop = new ManualEventLoop(1_000);
  private final ManualHttpClient httpClient = new ManualHttpClient();
  private final DirectStopClient client = new DirectStopClient(loop, httpClient, 3);

  /** Answers all calls, and those that follow. */
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

  /** The tasks of one job may be on every machine of the largest fleet. */
  @Test
  void sendsOneStopToEveryMachineOfLargeFleet() {
    cancelHugeArray();
    assertThat(httpClient.addresses).as("few at once").hasSize(MAX_CALLS_IN_PROGRESS);
    replyToAll(new ClientResponse(200, new byte[0]));
    assertThat(httpClient.addresses).doesNotHaveDuplicates().hasSize(FLEET_SIZE);
  }

  @Test
  void discardsStopsQueuedForHeartbeatInterval() {
    cancelHugeArray();
    loop.nowMs += 3_000;
    replyToAll(ClientResponse.NO_RESPONSE);
    assertThat(httpClient.addresses).hasSize(MAX_CALLS_IN_PROGRESS);
  }
}
