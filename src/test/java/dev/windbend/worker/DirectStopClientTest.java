package dev.windbend.worker;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.daemon.io.ManualLoop;
import dev.windbend.daemon.io.Web;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class DirectStopClientTest {
  private static final int FLEET = 4_000;
  private static final int MOST_AT_ONCE = 12;

  private final ManualLoop loop = new ManualLoop(1_000);
  private final Set<String> told = new HashSet<>();
  private final ArrayDeque<Consumer<Web.Reply>> unanswered = new ArrayDeque<>();
  private final DirectStopClient client = new DirectStopClient(loop, this::call, 3);

  private void call(
      String address,
      String method,
      String path,
      byte[] body,
      long limitMs,
      Consumer<Web.Reply> done) {
    told.add(address);
    unanswered.add(done);
  }

  private void cancelHugeArray() {
    for (int i = 0; i < FLEET; i++) {
      WorkerMessages.Order stop = WorkerMessages.Order.stop("wk-000001/" + i, 1, 0);
      client.send("10.0.0." + i + ":9000", 1, 1, List.of(stop));
    }
  }

  /** The tasks of one job may be on every machine of the largest fleet. */
  @Test
  void everyMachineOfALargeFleetIsTold() {
    cancelHugeArray();
    assertThat(told).as("few at once").hasSize(MOST_AT_ONCE);
    while (!unanswered.isEmpty()) {
      unanswered.poll().accept(new Web.Reply(200, new byte[0]));
    }
    assertThat(told).hasSize(FLEET);
  }

  @Test
  void whatHasWaitedForAReportIntervalIsLeftToTheNextAnswer() {
    cancelHugeArray();
    loop.nowMs += 3_000;
    while (!unanswered.isEmpty()) {
      unanswered.poll().accept(Web.Reply.NONE);
    }
    assertThat(told).hasSize(MOST_AT_ONCE);
  }
}
