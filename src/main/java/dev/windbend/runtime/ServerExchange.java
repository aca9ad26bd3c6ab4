package dev.windbend.runtime;

import io.undertow.server.ExchangeCompletionListener;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;

/**
 * One HTTP exchange, from the end of its request's head until its response was taken by the client.
 *
 * <p>The only responses that leave are the handler's first response and the rejections built here:
 * of a request that can't be read, of one whose handler throws, and of one whose handler does not
 * respond in time. No decision is left to Undertow, which completes an exchange without a response
 * by status 200.
 */
final class ServerExchange implements RequestBodyReader.Callback {
  private static final Logger LOG = LoggerFactory.getLogger(ServerExchange.class);
  private static final int RETRY_AFTER_SECONDS = 1;

  private static final EventLoop.Timer NO_TIMER = () -> {};

  private final HttpServerExchange exchange;
  private final XnioEventLoop loop;
  private final RequestHandler handler;
  private final HttpServerLimits limits;
  private final HttpServerMonitor monitor;
  private final RequestBodyReader body;
  private final long startMs;
  private EventLoop.Timer timeLimit = NO_TIMER;
  private boolean responded;
  private boolean completed;

  ServerExchange(
      HttpServerExchange exchange,
      XnioEventLoop loop,
      RequestHandler handler,
      HttpServerLimits limits,
      HttpServerMonitor monitor) {
    this.exchange = exchange;
    this.loop = loop;
    this.handler = handler;
    this.limits = limits;
    this.monitor = monitor;
    this.body = new RequestBodyReader(exchange, MessageLimits.MAX_REQUEST_BYTES, this);
    this.startMs = loop.nowMs();
  }

  /** Starts to read the request. Must not be called within a handler of Undertow. */
  void start() {
    exchange.addDefaultResponseListener(ended -> replaceDefaultResponse());
    exchange.addExchangeCompleteListener(this::complete);
    body.start();
    if (!body.ended()) {
      timeLimit = loop.after(limits.requestMs(), body::timeOut);
    }
  }

  @Override
  public void bodyRead(byte[] bytes) {
    timeLimit.cancel();
    monitor.requestEnded(RequestEnd.COMPLETE);
    try {
      handler.handle(request(bytes), this::respond);
    } catch (RuntimeException e) {
      LOG.error("request handler failed: path={}", exchange.getRequestPath(), e);
      respondIfMissing();
    } finally {
      if (!responded) {
        timeLimit = loop.after(limits.responseMs(), this::responseTimedOut);
      }
    }
  }

  private ServerRequest request(byte[] bytes) {
    Map<String, String> query = new HashMap<>();
    exchange.getQueryParameters().forEach((name, values) -> query.put(name, values.peekFirst()));
    return new ServerRequest(
        exchange.getRequestMethod().toString(), exchange.getRequestPath(), query, bytes);
  }

  /** The rest of the body is not read, so the connection is closed after the response. */
  @Override
  public void bodyRejected(RequestEnd end) {
    timeLimit.cancel();
    monitor.requestEnded(end);
    LOG.warn(
        "request body rejected: from={} path={} bytes={} status={} cause={}",
        exchange.getSourceAddress(),
        exchange.getRequestPath(),
        exchange.getRequestContentLength(),
        end.rejectionStatus(),
        end);
    exchange.setPersistent(false);
    send(ServerResponse.ofStatus(end.rejectionStatus()), limits.lingerMs());
  }

  private void responseTimedOut() {
    LOG.error(
        "request not answered by its handler: path={} after_ms={}",
        exchange.getRequestPath(),
        loop.nowMs() - startMs);
    respondIfMissing();
  }

  private void respondIfMissing() {
    if (!responded) {
      send(ServerResponse.retryAfter(RETRY_AFTER_SECONDS), limits.writeMs());
    }
  }

  private boolean replaceDefaultResponse() {
    if (responded) {
      return false;
    }
    LOG.error("exchange ended without a response: path={}", exchange.getRequestPath());
    respondIfMissing();
    return true;
  }

  private void respond(ServerResponse response) {
    if (responded) {
      LOG.warn(
          "late response dropped: path={} status={} after_ms={}",
          exchange.getRequestPath(),
          response.status(),
          loop.nowMs() - startMs);
      monitor.responseDropped(HttpServerMonitor.DroppedResponse.LATE);
    } else {
      send(response, limits.writeMs());
    }
  }

  private void send(ServerResponse response, long maxWriteMs) {
    responded = true;
    timeLimit.cancel();
    if (!exchange.getConnection().isOpen()) {
      monitor.responseDropped(HttpServerMonitor.DroppedResponse.CLIENT_GONE);
      exchange.endExchange();
      return;
    }
    LOG.debug(
        "response sent: method={} path={} status={} after_ms={}",
        exchange.getRequestMethod(),
        exchange.getRequestPath(),
        response.status(),
        loop.nowMs() - startMs);
    monitor.responseSent(exchange.getRequestPath(), response.status());
    exchange.setStatusCode(response.status());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    if (response.retryAfterS() > 0) {
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, response.retryAfterS());
    }
    exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
    if (!completed) {
      timeLimit = loop.after(maxWriteMs, () -> IoUtils.safeClose(exchange.getConnection()));
    }
  }

  private void complete(HttpServerExchange ended, ExchangeCompletionListener.NextListener next) {
    completed = true;
    timeLimit.cancel();
    next.proceed();
  }
}
