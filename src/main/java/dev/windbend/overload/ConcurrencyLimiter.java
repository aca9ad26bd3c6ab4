package dev.windbend.overload;

import com.netflix.concurrency.limits.Limit;
import com.netflix.concurrency.limits.limit.Gradient2Limit;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpStatus;
import dev.windbend.runtime.RequestHandler;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Limits the number of concurrent user requests; the limit adapts to their response times. A
 * request over the limit is answered immediately with 503 and a Retry-After header. Submissions may
 * use only a part of the limit, which reserves capacity for requests on accepted jobs, for example
 * cancellations.
 */
public final class ConcurrencyLimiter {
  private static final int INITIAL_LIMIT = 40;
  private static final int MIN_LIMIT = 8;
  private static final int MAX_LIMIT = 200;
  private static final double MAX_SUBMISSION_SHARE = 0.7;
  private static final int RETRY_AFTER_SECONDS = 1;

  private final EventLoop loop;
  private final Predicate<ServerRequest> isSubmission;
  private final RequestHandler handler;
  private final Limit limit =
      Gradient2Limit.newBuilder()
          .initialLimit(INITIAL_LIMIT)
          .minLimit(MIN_LIMIT)
          .maxConcurrency(MAX_LIMIT)
          .build();
  private int inProgress;

  /**
   * Creates a limiter in front of a handler.
   *
   * @param isSubmission returns whether a request submits a job
   * @param handler handles the requests within the limit
   */
  public ConcurrencyLimiter(
      EventLoop loop, Predicate<ServerRequest> isSubmission, RequestHandler handler) {
    this.loop = loop;
    this.isSubmission = isSubmission;
    this.handler = handler;
  }

  /** Returns how many requests may currently be in progress. */
  public int limit() {
    return limit.getLimit();
  }

  /**
   * Passes the request to the handler, or rejects it with 503 if it is over the limit.
   *
   * @param done receives the response; called exactly once, during this call or later
   */
  public void handle(ServerRequest request, Consumer<ServerResponse> done) {
    if (inProgress >= limit.getLimit() * (isSubmission.test(request) ? MAX_SUBMISSION_SHARE : 1)) {
      done.accept(ServerResponse.retryAfter(RETRY_AFTER_SECONDS));
      return;
    }
    int concurrency = ++inProgress;
    long startNs = nowNs();
    handler.handle(
        request,
        response -> {
          inProgress--;
          // During an outage of the state service, response times do not indicate overload.
          if (response.status() != HttpStatus.SERVICE_UNAVAILABLE) {
            limit.onSample(startNs, Math.max(1, nowNs() - startNs), concurrency, false);
          }
          done.accept(response);
        });
  }

  private long nowNs() {
    return TimeUnit.MILLISECONDS.toNanos(loop.nowMs());
  }
}
