package dev.windbend.runtime;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.Options;
import org.xnio.XnioWorker;

/**
 * Listens on one address and passes each request to a {@link RequestHandler} after its body was
 * read completely.
 */
public final class HttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

  private static final int IDLE_TIMEOUT_MS = 120_000;
  private static final int PARSE_TIMEOUT_MS = 10_000;

  private HttpServer() {}

  /**
   * Starts to listen. Requests are handled on the I/O thread of the worker.
   *
   * @param address host and port, as {@code host:port}; port 0 selects a free port
   * @return the address that the server listens on
   */
  public static InetSocketAddress listen(
      XnioWorker worker, ByteBufferPool buffers, String address, RequestHandler handler) {
    int colon = address.lastIndexOf(':');
    Undertow server =
        Undertow.builder()
            .setWorker(worker)
            .setByteBufferPool(buffers)
            .setServerOption(
                UndertowOptions.MAX_ENTITY_SIZE, (long) MessageLimits.MAX_REQUEST_BYTES)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MS)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MS)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
            .setSocketOption(Options.TCP_NODELAY, true)
            .setSocketOption(Options.REUSE_ADDRESSES, true)
            .addHttpListener(
                Integer.parseInt(address.substring(colon + 1)),
                address.substring(0, colon),
                exchange ->
                    exchange.dispatch(
                        SameThreadExecutor.INSTANCE, () -> receive(exchange, handler)))
            .build();
    server.start();
    return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
  }

  private static void receive(HttpServerExchange exchange, RequestHandler handler) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (received, body) ->
                XnioEventLoop.runLoggingErrors(
                    () ->
                        handler.handle(
                            request(received, body), response -> respond(received, response))),
            HttpServer::rejectUnreadable);
  }

  private static ServerRequest request(HttpServerExchange exchange, byte[] body) {
    Map<String, String> query = new HashMap<>();
    exchange.getQueryParameters().forEach((name, values) -> query.put(name, values.peekFirst()));
    return new ServerRequest(
        exchange.getRequestMethod().toString(), exchange.getRequestPath(), query, body);
  }

  /**
   * Rejects a request whose body is too large or incomplete. The rest of the body is not read, so
   * the connection is closed after the response.
   */
  private static void rejectUnreadable(HttpServerExchange exchange, IOException failure) {
    exchange.setPersistent(false);
    boolean tooLarge =
        exchange.getRequestContentLength() > MessageLimits.MAX_REQUEST_BYTES
            || failure instanceof RequestTooBigException;
    int status = tooLarge ? HttpStatus.PAYLOAD_TOO_LARGE : HttpStatus.BAD_REQUEST;
    LOG.warn(
        "request body rejected: from={} path={} bytes={} status={}",
        exchange.getSourceAddress(),
        exchange.getRequestPath(),
        exchange.getRequestContentLength(),
        status);
    respond(exchange, ServerResponse.ofStatus(status));
  }

  private static void respond(HttpServerExchange exchange, ServerResponse response) {
    if (exchange.isResponseStarted()) {
      return;
    }
    exchange.setStatusCode(response.status());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    if (response.retryAfterS() > 0) {
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, response.retryAfterS());
    }
    exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
  }
}
