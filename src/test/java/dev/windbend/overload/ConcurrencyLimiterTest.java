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
  private final ArrayDeque<Consumer<ServerResponse>> open = new ArrayDeque<>();
  private final ConcurrencyLimiter gate =
      new ConcurrencyLimiter(
          loop, r -> r.method().equals("POST"), (request, done) -> open.add(done));
  private final ServerRequest request = new ServerRequest("GET", "/", Map.of(), new byte[0]);

  @AfterEach
  void setsNoTimers() {
    assertThat(loop.waiting).isEmpty();
  }

  @Test
  void answersAtOnceWhatIsOverTheLimitAndSaysWhenToComeBack() {
    int limit = gate.limit();
    int[] refused = {0};
    for (int i = 0; i < limit + 5; i++) {
      gate.handle(
          request,
          a -> {
            assertThat(a.retryAfterS()).isPositive();
            refused[0]++;
          });
    }
    assertThat(refused[0]).isEqualTo(5);
    assertThat(open).hasSize(limit);
  }

  @Test
  void questionsGoAheadOfNewSubmissions() {
    ServerRequest submission = new ServerRequest("POST", "/", Map.of(), new byte[0]);
    int[] refused = {0};
    for (int i = 0; i < gate.limit(); i++) {
      gate.handle(submission, a -> refused[0]++);
    }
    assertThat(refused[0]).isPositive();
    gate.handle(request, a -> refused[0] = -1);
    assertThat(refused[0]).isPositive();
  }

  @Test
  void theLimitFallsAsRequestsTakeLonger() {
    for (int i = 0; i < 300; i++) {
      serve(10);
    }
    int before = gate.limit();
    int least = before;
    for (int i = 0; i < 30; i++) {
      serve(2_000);
      least = Math.min(least, gate.limit());
    }
    assertThat(least).isLessThan(before);
  }

  private void serve(long ms) {
    int n = gate.limit();
    for (int i = 0; i < n; i++) {
      gate.handle(request, a -> {});
    }
    loop.nowMs += ms;
    while (!open.isEmpty()) {
      open.poll().accept(ServerResponse.ofStatus(200));
    }
  }
}
