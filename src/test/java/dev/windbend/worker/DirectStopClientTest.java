package dev.windbend.worker;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.runtime.ClientResponse;
import dev.windbend.runtime.ManualEventLoop;
import dev.windbend.runtime.ManualHttpClient;
import java.util.List;
import org.junit.jupiter.api.Test;

class DirectStopClientTest {
  private static final int FLEET = 4_000;
  private static final int MAX_CALLS_IN_PROGRESS = 12;

  private final ManualEventLoop loop = new ManualEventLoop(1_000);
  private final ManualHttpClient web = new ManualHttpClient();
  private final DirectStopClient client = new DirectStopClient(loop, web, 3);

  /** Answers all calls, and those that follow. */
  private void answerAll(ClientResponse reply) {
    for (int call = 0; call < web.calls.size(); call++) {
      web.calls.get(call).accept(reply);
    }
  }

  private void cancelHugeArray() {
    for (int i = 0; i < FLEET; i++) {
      WorkerMessages.Order stop = WorkerMessages.Order.stop("wk-000001/" + i, 1, 0);
      client.send("10.0.0." + i + ":9000", 1, 1, List.of(stop));
    }
  }

  /** The tasks of one job may be on every machine of the largest fleet. */
  @Test
  void everyMachineOfALargeFleetGetsItsStop() {
    cancelHugeArray();
    assertThat(web.addresses).as("few at once").hasSize(MAX_CALLS_IN_PROGRESS);
    answerAll(new ClientResponse(200, new byte[0]));
    assertThat(web.addresses).doesNotHaveDuplicates().hasSize(FLEET);
  }

  @Test
  void stopsThatWaitedForAHeartbeatIntervalAreLeftToTheNextResponse() {
    cancelHugeArray();
    loop.nowMs += 3_000;
    answerAll(ClientResponse.NO_RESPONSE);
    assertThat(web.addresses).hasSize(MAX_CALLS_IN_PROGRESS);
  }
}
