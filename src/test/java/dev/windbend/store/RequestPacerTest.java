package dev.windbend.store;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.runtime.ManualEventLoop;
import dev.windbend.store.RequestPacer.Lane;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestPacerTest {
  private static final int REQUESTS_PER_SECOND = 1_000;
  private static final int WRITES_PER_SECOND = 10;

  private final ManualEventLoop loop = new ManualEventLoop(100_000);
  private final RequestPacer pacer = new RequestPacer(loop, REQUESTS_PER_SECOND, WRITES_PER_SECOND);
  private final List<String> sent = new ArrayList<>();
  private int rejected;

  private void submit(Lane lane, int writeCount, String name) {
    pacer.submit(lane, writeCount, () -> sent.add(name), () -> rejected++);
  }

  private void exhaustWriteTokens() {
    submit(Lane.LEADER_WRITES, WRITES_PER_SECOND, "burst");
    sent.clear();
  }

  /** Guards against scale-out writes being delayed by user writes in a burst of submissions. */
  @Test
  void alternatesUserAndLeaderWrites() {
    exhaustWriteTokens();
    for (int i = 0; i < 3; i++) {
      submit(Lane.USER_WRITES, 1, "user" + i);
    }
    for (int i = 0; i < 2; i++) {
      submit(Lane.LEADER_WRITES, 1, "leader" + i);
    }
    assertThat(sent).isEmpty();
    loop.nowMs += 1_000;
    loop.runPendingTasks();
    assertThat(sent).containsExactly("user0", "leader0", "user1", "leader1", "user2");
  }

  @Test
  void sendsReadWhileWritesWait() {
    exhaustWriteTokens();
    submit(Lane.USER_WRITES, 1, "user");
    submit(Lane.LEADER_WRITES, 1, "leader");
    submit(Lane.READS, 0, "read");
    assertThat(sent).containsExactly("read");
  }

  @Test
  void rejectsCallsOfFullQueueOnly() {
    exhaustWriteTokens();
    for (int i = 0; i < 400; i++) {
      submit(Lane.USER_WRITES, 1, "user" + i);
    }
    assertThat(rejected).isZero();
    submit(Lane.USER_WRITES, 1, "one too many");
    assertThat(rejected).isEqualTo(1);
    submit(Lane.LEADER_WRITES, 1, "leader");
    assertThat(rejected).isEqualTo(1);
  }

  /** Lease renewals are sent even without tokens; queued calls wait until the debt is repaid. */
  @Test
  void delaysQueuedCallAfterUnqueuedCalls() {
    for (int i = 0; i < 2 * REQUESTS_PER_SECOND; i++) {
      pacer.countUnqueuedRequest();
    }
    submit(Lane.READS, 0, "read");
    loop.nowMs += 1_000;
    loop.runPendingTasks();
    assertThat(sent).isEmpty();
    loop.nowMs += 1;
    loop.runPendingTasks();
    assertThat(sent).containsExactly("read");
  }

  @Test
  void slowsDownOnlyWritesAfterRateLimitedWrite() {
    pacer.onRateLimited(true);
    submit(Lane.READS, 0, "read");
    submit(Lane.LEADER_WRITES, 1, "leader");
    assertThat(sent).containsExactly("read");
    loop.nowMs += 1_000;
    loop.runPendingTasks();
    assertThat(sent).containsExactly("read", "leader");
  }
}
