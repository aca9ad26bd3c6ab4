package dev.windbend.daemon;

import dev.windbend.daemon.io.Web;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** Listens on one address and hands each request, read whole, to a door. */
final class Server {
  private static final long MOST_BODY = 64 * 1024;
  private static final int IDLE_MS = 120_000;
  private static final int PARSE_MS = 10_000;
  private static final HttpString RETRY_AFTER = Headers.RETRY_AFTER;

  private Server() {}

  static InetSocketAddress listen(
      XnioWorker worker, ByteBufferPool buffers, String address, Web.Door door) {
    int colon = address.lastIndexOf(':');
    Undertow server =
        Undertow.builder()
            .setWorker(worker)
            .setByteBufferPool(buffers)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MOST_BODY)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_MS)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_MS)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
            .setSocketOption(Options.TCP_NODELAY, true)
            .setSocketOption(Options.REUSE_ADDRESSES, true)
            .addHttpListener(
                Integer.parseInt(address.substring(colon + 1)),
                address.substring(0, colon),
                exchange ->
                    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> receive(exchange, door)))
            .build();
    server.start();
    return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
  }

  private static void receive(HttpServerExchange exchange, Web.Door door) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (e, body) -> XnioLoop.run(() -> door.handle(request(e, body), a -> answer(e, a))),
            (e, failure) -> {
              // Too large, or broken off: not read further.
              e.setPersistent(false);
              answer(
                  e,
                  Web.Answer.bare(
                      e.getRequestContentLength() > MOST_BODY
                              || failure instanceof io.undertow.server.RequestTooBigException
                          ? 413
                          : 400));
            });
  }

  private static Web.Request request(HttpServerExchange e, byte[] body) {
    Map<String, String> query = new HashMap<>();
    e.getQueryParameters().forEach((k, v) -> query.put(k, v.peekFirst()));
    return new Web.Request(e.getRequestMethod().toString(), e.getRequestPath(), query, body);
  }

  private static void answer(HttpServerExchange e, Web.Answer a) {
    if (e.isResponseStarted()) {
      return;
    }
    e.setStatusCode(a.status());
    e.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    if (a.retryAfterS() > 0) {
      e.getResponseHeaders().put(RETRY_AFTER, a.retryAfterS());
    }
    e.getResponseSender().send(ByteBuffer.wrap(a.body()));
  }
}
