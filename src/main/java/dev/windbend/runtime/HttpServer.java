package dev.windbend.runtime;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** Listens on one address; each request is the start of a {@link ServerExchange}. */
public final class HttpServer {
  private static final int IDLE_TIMEOUT_MS = 120_000;
  private static final int PARSE_TIMEOUT_MS = 10_000;

  /** {@link RequestBodyReader} limits the size; Undertow would close the connection instead. */
  private static final long UNLIMITED = -1;

  private HttpServer() {}

  /**
   * Starts to listen. Requests are handled on the I/O thread of the worker.
   *
   * @param address host and port, as {@code host:port}; port 0 selects a free port
   * @return the address that the server listens on
   */
  public static InetSocketAddress listen(
      XnioWorker worker,
      ByteBufferPool buffers,
      String address,
      RequestHandler handler,
      HttpServerMonitor monitor) {
    return listen(worker, buffers, address, handler, monitor, HttpServerLimits.DEFAULT);
  }

  static InetSocketAddress listen(
      XnioWorker worker,
      ByteBufferPool buffers,
      String address,
      RequestHandler handler,
      HttpServerMonitor monitor,
      HttpServerLimits limits) {
    int colon = address.lastIndexOf(':');
    XnioEventLoop loop = new XnioEventLoop(worker.getIoThread());
    Undertow server =
        Undertow.builder()
            .setWorker(worker)
            .setByteBufferPool(buffers)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, UNLIMITED)
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
                        SameThreadExecutor.INSTANCE,
                        new ServerExchange(exchange, loop, handler, limits, monitor)::start))
            .build();
    server.start();
    return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
  }
}
