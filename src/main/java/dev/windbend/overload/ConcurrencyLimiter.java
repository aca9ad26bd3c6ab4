package dev.windbend.overload;

import com.netflix.concurrency.limits.Limit;
import com.netflix.concurrency.limits.limit.Gradient2Limit;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.RequestHandler;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Limits the users' requests in progress; the limit adapts to the times they take. What is over it
 * is answered at once, with when to come back. New submissions get a part of it only: questions
 * about accepted jobs and cancellations go ahead of them.
 */
public final class ConcurrencyLimiter {
  private static final int FIRST = 40;
  private static final int LEAST = 8;
  private static final int MOST = 200;
  private static final double FOR_NEW = 0.7;

  private final EventLoop loop;
  private final Predicate<ServerRequest> isNew;
  private final RequestHandler inner;
  private final Limit limit =
      Gradient2Limit.newBuilder().initialLimit(FIRST).minLimit(LEAST).maxConcurrency(MOST).build();
  private int inProgress;

  public ConcurrencyLimiter(EventLoop loop, Predicate<ServerRequest> isNew, RequestHandler inner) {
    this.loop = loop;
    this.isNew = isNew;
    this.inner = inner;
  }

  public int limit() {
    return limit.getLimit();
  }

  public void handle(ServerRequest request, Consumer<ServerResponse> done) {
    if (inProgress >= limit.getLimit() * (isNew.test(request) ? FOR_NEW : 1)) {
      done.accept(ServerResponse.retryAfter(1));
      return;
    }
    int now = ++inProgress;
    long start = nanos();
    inner.handle(
        request,
        answer -> {
          inProgress--;
          // An outage is not load: its 503s say nothing about how much we can take.
          if (answer.status() != 503) {
            limit.onSample(start, Math.max(1, nanos() - start), now, false);
          }
          done.accept(answer);
        });
  }

  private long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(loop.nowMs());
  }
}
