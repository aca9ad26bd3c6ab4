package dev.windbend.overload;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.runtime.ManualEventLoop;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ConcurrencyLimiterTest {
  private final ManualEventLoop loop = new ManualEventLoop(0);
  private final ArrayDeque<Consumer<ServerResponse>> inProgress = new ArrayDeque<>();
  private final ConcurrencyLimiter limiter =
      new ConcurrencyLimiter(
          loop, r -> r.method().equals("POST"), (request, done) -> inProgress.add(done));
  private final ServerRequest request = new ServerRequest("GET", "/", Map.of(), new byte[0]);

  @AfterEach
  void assertNoTimersSet() {
    assertThat(loop.pendingTasks).isEmpty();
  }

  @Test
  void rejectsRequestsOverLimitWithRetryAfter() {
    int limit = limiter.limit();
    int[] rejected = {0};
    for (int i = 0; i < limit + 5; i++) {
      limiter.handle(
          request,
          response -> {
            assertThat(response.retryAfterS()).isPositive();
            rejected[0]++;
          });
    }
    assertThat(rejected[0]).isEqualTo(5);
    assertThat(inProgress).hasSize(limit);
  }

  @Test
  void acceptsOtherRequestWhenSubmissionsReachTheirShare() {
    ServerRequest submission = new ServerRequest("POST", "/", Map.of(), new byte[0]);
    int[] rejected = {0};
    for (int i = 0; i < limiter.limit(); i++) {
      limiter.handle(submission, response -> rejected[0]++);
    }
    assertThat(rejected[0]).isPositive();
    limiter.handle(request, response -> rejected[0] = -1);
    assertThat(rejected[0]).isPositive();
  }

  @Test
  void lowersLimitWhenRequestsTakeLonger() {
    for (int i = 0; i < 300; i++) {
      serveAtLimit(10);
    }
    int limitBefore = limiter.limit();
    int lowestLimit = limitBefore;
    for (int i = 0; i < 30; i++) {
      serveAtLimit(2_000);
      lowestLimit = Math.min(lowestLimit, limiter.limit());
    }
    assertThat(lowestLimit).isLessThan(limitBefore);
  }

  private void serveAtLimit(long ms) {
    int limit = limiter.limit();
    for (int i = 0; i < limit; i++) {
      limiter.handle(request, response -> {});
    }
    loop.nowMs += ms;
    while (!inProgress.isEmpty()) {
      inProgress.poll().accept(ServerResponse.ofStatus(200));
    }
  }
}
